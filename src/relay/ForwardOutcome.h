#pragma once

#include <QByteArray>

#include <cstddef>
#include <optional>

namespace cranberry {

class HttpHeaders;

/// What the daemon to which a request was forwarded says of it.
enum class ForwardOutcome {
    /// It passes on the answer of a target.
    Answered,
    /// It did not take the request; another daemon may.
    NotTaken,
    /// It took the request, which has not run and never will.
    NotRun,
    /// It took the request, which may have run.
    MayHaveRun,
    /// It said nothing valid: the connection broke or timed out, or the response is incomplete.
    Broken,
    /// The daemon that forwarded the request ended the exchange.
    Abandoned,
};

constexpr std::size_t ForwardOutcomeCount = 6;

/// The name used in messages, log lines and metrics. Thread-safe.
const char *forwardOutcomeName(ForwardOutcome outcome);

/// Returns @p headers with @p outcome instead of any outcome that they name. Thread-safe.
HttpHeaders withForwardOutcome(const HttpHeaders &headers, ForwardOutcome outcome);

/// The outcome that the headers of a daemon's response name; unset if none. Thread-safe.
std::optional<ForwardOutcome> forwardOutcomeOf(const HttpHeaders &headers);

/// Returns the headers of a daemon's response that are for the caller: without the outcome and
/// those that concern the connection. Thread-safe.
HttpHeaders callerHeadersOf(const HttpHeaders &headers);

} // namespace cranberry
