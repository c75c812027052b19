#include "orders/LeaseTiming.h"

#include <cmath>

namespace cranberry {

bool mayIssue(const LeaseTimes &times, MonotonicTime askedAt, MonotonicTime now)
{
    return now < askedAt + times.lease - times.stopEarly;
}

Milliseconds successorWait(const LeaseTimes &times)
{
    const auto drift = Milliseconds(std::llround(double(times.lease.count()) * times.driftMargin));
    return drift + times.longestFlight;
}

Milliseconds renewalInterval(const LeaseTimes &times)
{
    constexpr int RenewalsPerLease = 3;
    return times.lease / RenewalsPerLease;
}

} // namespace cranberry
