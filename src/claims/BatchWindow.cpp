#include "claims/BatchWindow.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr double RateDecaySeconds = 5;
/// Share of one shard. 64 shards make 128 writes per second, of the several hundred per second
/// that the platform's store accepts in total.
constexpr double MaxWritesPerSecond = 2;

double decayedRate(const ArrivalRate &rate, MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(now - rate.last).count();
    return rate.perSecond * std::exp(-seconds / RateDecaySeconds);
}

} // namespace

ArrivalRate recordArrival(const ArrivalRate &rate, MonotonicTime now)
{
    return {decayedRate(rate, now) + 1 / RateDecaySeconds, now};
}

Milliseconds batchWindow(const ArrivalRate &rate, MonotonicTime now, Milliseconds maxWindow)
{
    const double perSecond = decayedRate(rate, now);
    if (perSecond <= MaxWritesPerSecond)
        return Milliseconds(0);
    // The interval between two writes is the window plus the average wait for its first claim.
    const std::chrono::duration<double> window(1 / MaxWritesPerSecond - 1 / perSecond);
    return std::min(maxWindow, std::chrono::duration_cast<Milliseconds>(window));
}

} // namespace cranberry
