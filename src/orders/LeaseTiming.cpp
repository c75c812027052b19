#include "orders/LeaseTiming.h"

#include <cmath>

namespace cranberry {

bool mayIssue(const LeaseTimes &times, MonotonicTime requestedAt, MonotonicTime now)
{
    return now < requestedAt + times.leaseDuration - times.expiryMargin;
}

Milliseconds takeoverDelay(const LeaseTimes &times)
{
    const auto drift =
        Milliseconds(std::llround(double(times.leaseDuration.count()) * times.driftMargin));
    return drift + times.maxOrderDelay;
}

Milliseconds renewalInterval(const LeaseTimes &times)
{
    constexpr int RenewalsPerLease = 3;
    return times.leaseDuration / RenewalsPerLease;
}

} // namespace cranberry
