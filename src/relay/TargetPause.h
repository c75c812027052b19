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
/// unanswered request, then twice as many after each answer that is not a rejection, up to half of
/// what ran there when the target asked, then one more in the time that it asked for. If the load
/// returned at once, targets with little room would be paused in turn.
struct TargetPause {
    /// The daemon starts no request at the target before this time.
    MonotonicTime until;
    int exceptions = 0;
    /// Maximum number of requests without an answer after the pause.
    int maxUnanswered = 1;
    /// Up to this number the maximum is doubled.
    int threshold = 1;
    /// From the threshold on it grows by one in this time.
    Milliseconds growthInterval{0};
    MonotonicTime grownAt;
    /// Requests sent after the pause that have no answer yet.
    int unanswered = 0;
};

/// Applies an answer that asks for a pause of @p duration, when @p running requests of the daemon
/// ran at the target. A shorter pause does not end a longer one. Returns whether a new pause
/// begins. Precondition: @p duration is positive. Thread-safe.
bool extendPause(TargetPause &pause, Milliseconds duration, int running, MonotonicTime now);

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
