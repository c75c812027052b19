#include "admission/WaitEstimate.h"

#include <cmath>

namespace cranberry {

namespace {

constexpr double MemorySeconds = 10;
constexpr double LeastPlacements = 3;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

void countTime(WaitEstimate &estimate, MonotonicTime now, bool busy)
{
    const std::chrono::duration<double> passed = now - estimate.countedTo.value_or(now);
    estimate.countedTo = now;
    if (!busy)
        return;
    // Only busy time ages the estimate: what was learnt in one rush serves the next.
    const double kept = std::exp(-passed.count() / MemorySeconds);
    estimate.placements *= kept;
    estimate.busySeconds = estimate.busySeconds * kept + passed.count();
}

void countPlacement(WaitEstimate &estimate)
{
    estimate.placements += 1;
}

std::optional<Milliseconds> expectedWait(const WaitEstimate &estimate, double ahead)
{
    if (estimate.placements < LeastPlacements)
        return std::nullopt;
    const double seconds = ahead * estimate.busySeconds / estimate.placements;
    return Milliseconds(qint64(seconds * MillisecondsPerSecond));
}

} // namespace cranberry
