#pragma once

#include <cstddef>

namespace cranberry {

/// How the end of a response's body is marked (RFC 9112, section 6.3).
enum class BodyFraming {
    /// The headers were not received completely.
    Unknown,
    /// By its length; also a response without a body.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection. A body that is cut short looks the same as a complete one.
    Connection,
};

constexpr std::size_t BodyFramingCount = 4;

/// The name used in log lines and metrics. Thread-safe.
inline const char *bodyFramingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    case BodyFraming::Unknown:
        break;
    }
    return "unknown";
}

} // namespace cranberry
