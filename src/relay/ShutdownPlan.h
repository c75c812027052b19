#pragma once

#include "base/Units.h"

#include <optional>

namespace cranberry {

/// When a daemon that was told to shut down does what. The platform kills the process at the end of
/// the grace time, which counts from the signal; the daemon may read the signal later, and its
/// answers take time to reach their callers.
struct ShutdownPlan {
    /// The daemon read the signal.
    MonotonicTime began;
    /// Each request that is in progress gets its final answer.
    MonotonicTime answersDue;
    /// The process ends, whatever remains.
    MonotonicTime exit;
};

/// Told to callers that are rejected as the daemon shuts down; another one can serve them.
constexpr Milliseconds RetryAfterDraining{20};

/// The plan of a daemon that reads the signal at @p now. Thread-safe.
/// Precondition: @p grace is positive.
ShutdownPlan planShutdown(MonotonicTime now, Milliseconds grace);

/// What is known of the time that a request will take.
struct DurationEstimate {
    /// Target time until the answer, or until the first event of a stream.
    Milliseconds objective{0};
    /// Time until the deadline of the request.
    Milliseconds timeLeft{0};
    /// Time from sending until the answer or first event that few requests of the service exceed;
    /// unset if unknown.
    std::optional<Milliseconds> observed;
    /// Maximum output, and time per token; zero if the answer is no stream.
    Tokens output{0};
    double msPerToken = 0;
    /// The request has not been placed and may have to wait.
    bool isNew = true;
};

/// The time after which few such requests are unfinished; at most the time until the deadline.
/// Thread-safe.
Milliseconds expectedDuration(const DurationEstimate &estimate);

/// Whether a request that takes @p duration from @p now on is answered in time. Everything that
/// accepts or sends requests asks this function. Thread-safe.
bool isAnsweredBeforeShutdown(const ShutdownPlan &plan, MonotonicTime now, Milliseconds duration);

} // namespace cranberry
