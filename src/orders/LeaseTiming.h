#pragma once

#include "base/Units.h"

namespace cranberry {

/// Timing of an issuer lease. The times keep two successive holders from issuing at the same time.
struct LeaseTimes {
    /// Time for which the platform's service keeps a lease after its last renewal.
    Milliseconds leaseDuration{10'000};
    /// The holder stops issuing this long before its lease ends, which tolerates a pause of up to
    /// this length between its last clock reading and the send.
    Milliseconds expiryMargin{1000};
    /// Fraction of a lease duration by which one clock may lag behind another. The allowance for
    /// clock drift follows "Can We Rely On Timers For Distributed Algorithms?". The system slews a
    /// monotonic clock by at most 0.05%. The margin matters only for a holder that was paused for
    /// the whole of expiryMargin, as the test LeaseTiming shows.
    double driftMargin = 0.01;
    /// Maximum time from the send of an order until it has reached its target or never will.
    Milliseconds maxOrderDelay{2000};
};

/// True if the holder of a lease that it requested, or asked to renew, at @p requestedAt may issue
/// at @p now. Both times are from the holder's clock; @p requestedAt is read before the request is
/// sent. Thread-safe.
bool mayIssue(const LeaseTimes &times, MonotonicTime requestedAt, MonotonicTime now);

/// Time for which a new holder waits after its lease was granted before it issues. The service has
/// expired the previous lease by then, so the wait covers the clock lag of the previous holder and
/// its orders in flight. Thread-safe.
Milliseconds takeoverDelay(const LeaseTimes &times);

/// Interval between renewals of a lease. Thread-safe.
Milliseconds renewalInterval(const LeaseTimes &times);

} // namespace cranberry
