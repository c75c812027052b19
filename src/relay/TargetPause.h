#pragma once

#include "base/Units.h"

namespace cranberry {

/// Requests that a paused target receives from one daemon although it asked for none: those that
/// cannot wait, such as a generation that continues there.
constexpr int MaxPauseExceptions = 2;
/// Unanswered requests of one daemon at which the load of a target is no longer limited after a
/// pause.
constexpr int MaxReturning = 16;

/// The pause that a target asked one daemon for, and the return of the daemon's load after it: one
/// unanswered request at a time, then twice as many after each answer that is not a rejection.
struct TargetPause {
    MonotonicTime askedAt;
    /// The daemon starts no request at the target before this time.
    MonotonicTime until;
    int exceptions = 0;
    /// Maximum number of requests without an answer after the pause.
    int maxUnanswered = 1;
    /// Requests sent after the pause that have no answer yet.
    int unanswered = 0;
    /// Counts the pauses; a request is only counted in the one in which it was sent.
    int number = 0;
};

/// Applies an answer that asks for a pause of @p duration. A shorter pause does not end a longer
/// one. Precondition: @p duration is positive. Thread-safe.
void extendPause(TargetPause &pause, Milliseconds duration, MonotonicTime now);

/// Thread-safe.
bool isPaused(const TargetPause &pause, MonotonicTime now);

/// Whether a request may be started at the target. Thread-safe.
bool mayStart(const TargetPause &pause, MonotonicTime now);

/// Whether a request that cannot wait may be sent to the target. Thread-safe.
bool mayExcept(const TargetPause &pause, MonotonicTime now);

/// Records an answer that is not a rejection. Returns whether the load is no longer limited.
/// Thread-safe.
bool recordAccepted(TargetPause &pause, MonotonicTime now);

} // namespace cranberry
