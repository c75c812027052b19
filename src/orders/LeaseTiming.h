// Defines the times by which the holders of an issuer's lease keep apart.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct LeaseTimes {
    /// For which the platform's service keeps a lease after its last renewal.
    Milliseconds lease{10'000};
    /// The holder stops so long before its lease ends; no pause between its last look at the
    /// clock and the send that is shorter can hurt.
    Milliseconds stopEarly{1000};
    /// By how much of a lease a clock may be behind another. The allowance for clocks that run
    /// at different speeds is that of "Can We Rely On Timers For Distributed Algorithms?". The
    /// system slews a monotonic clock by at most 0.05%. The test LeaseTiming shows where it
    /// matters: only for a holder that a pause has cost its whole early stop.
    double driftMargin = 0.01;
    /// Longest time from the send of an order until a target has it or never will.
    Milliseconds longestFlight{2000};
};

/// Whether the holder of a lease that it asked for, or asked to renew, at @p askedAt may issue
/// at @p now. Both are its own clock, read before the request left. Thread-safe.
bool mayIssue(const LeaseTimes &times, MonotonicTime askedAt, MonotonicTime now);

/// How long a new holder waits after its lease was granted before it issues. The lease before
/// it has lapsed at the service by then, so what is left is how far the earlier holder's clock
/// may be behind, and an order of it that is on its way. Thread-safe.
Milliseconds successorWait(const LeaseTimes &times);

/// How often a lease is renewed. Thread-safe.
Milliseconds renewalInterval(const LeaseTimes &times);

} // namespace cranberry
