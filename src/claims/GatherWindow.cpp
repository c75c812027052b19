#include "claims/GatherWindow.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr double DecaySeconds = 5;
/// Of one shard; with 64 of them 128 writes a second, of the several hundred that the
/// platform's service takes for everything.
constexpr double WritesPerSecond = 2;

double decayed(const ArrivalRate &rate, MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(now - rate.last).count();
    return rate.perSecond * std::exp(-seconds / DecaySeconds);
}

} // namespace

ArrivalRate afterArrival(const ArrivalRate &rate, MonotonicTime now)
{
    return {decayed(rate, now) + 1 / DecaySeconds, now};
}

Milliseconds gatherWindow(const ArrivalRate &rate, MonotonicTime now, Milliseconds longest)
{
    const double perSecond = decayed(rate, now);
    if (perSecond <= WritesPerSecond)
        return Milliseconds(0);
    // Between two writes pass the window and, on average, the wait for the first claim in it.
    const std::chrono::duration<double> window(1 / WritesPerSecond - 1 / perSecond);
    return std::min(longest, std::chrono::duration_cast<Milliseconds>(window));
}

} // namespace cranberry
