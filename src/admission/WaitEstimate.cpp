#include "admission/WaitEstimate.h"

#include <cmath>

namespace cranberry {

namespace {

constexpr double DecaySeconds = 10;
constexpr double MinPlacements = 3;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

void recordTime(WaitEstimate &estimate, MonotonicTime now, bool busy)
{
    const std::chrono::duration<double> elapsed = now - estimate.updatedAt.value_or(now);
    estimate.updatedAt = now;
    if (!busy)
        return;
    // The estimate decays in busy time only, so that the rate of one overload is available at the
    // start of the next.
    const double decay = std::exp(-elapsed.count() / DecaySeconds);
    estimate.placements *= decay;
    estimate.busySeconds = estimate.busySeconds * decay + elapsed.count();
}

void recordPlacement(WaitEstimate &estimate)
{
    estimate.placements += 1;
}

std::optional<Milliseconds> expectedWait(const WaitEstimate &estimate, double ahead)
{
    if (estimate.placements < MinPlacements)
        return std::nullopt;
    const double seconds = ahead * estimate.busySeconds / estimate.placements;
    return Milliseconds(qint64(seconds * MillisecondsPerSecond));
}

} // namespace cranberry
