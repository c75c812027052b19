#pragma once

#include <array>
#include <cstddef>

namespace cranberry {

/// The state of an accepted connection.
enum class ConnectionState {
    /// No byte of the first request has been received.
    AwaitingFirst,
    /// At least one response is complete and no byte of the next request has been received.
    AwaitingNext,
    /// A part of a request has been received.
    Receiving,
    Answering,
    Streaming,
    /// The last response is written; waits for the caller to close the connection.
    Lingering,
    Ended,
};

constexpr std::size_t ConnectionStateCount = std::size_t(ConnectionState::Ended) + 1;

/// Number of connections by state.
using ConnectionCounts = std::array<int, ConnectionStateCount>;

/// The name of @p state in log lines and metrics. Thread-safe.
constexpr const char *connectionStateName(ConnectionState state)
{
    constexpr std::array<const char *, ConnectionStateCount> names{
        "awaiting_first", "awaiting_next", "receiving", "answering",
        "streaming",      "lingering",     "ended"};
    return names[std::size_t(state)];
}

} // namespace cranberry
