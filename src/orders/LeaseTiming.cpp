#include "orders/LeaseTiming.h"

#include <cmath>

namespace cranberry {

bool mayIssue(const LeaseTimes &times, MonotonicTime requestedAt, MonotonicTime now)
{
    return now < requestedAt + times.lease - times.expiryMargin;
}

Milliseconds takeoverDelay(const LeaseTimes &times)
{
    const auto drift = Milliseconds(std::llround(double(times.lease.count()) * times.driftMargin));
    return drift + times.maxOrderDelay;
}

Milliseconds renewalInterval(const LeaseTimes &times)
{
    constexpr int RenewalsPerLease = 3;
    return times.lease / RenewalsPerLease;
}

} // namespace cranberry
