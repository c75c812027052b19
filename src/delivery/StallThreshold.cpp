#include "delivery/StallThreshold.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Minimum weight of a new gap in the mean and variance; earlier gaps decay accordingly.
constexpr double MinGapWeight = 0.02;
/// Standard deviations above the mean gap at which silence counts as a stall.
constexpr double StallDeviations = 8.0;
/// Gaps that have to be known before the threshold follows the statistics.
constexpr qint64 MinGapCount = 20;

} // namespace

void recordGap(GapStatistics &statistics, Milliseconds gap)
{
    const double value = double(gap.count());
    ++statistics.count;
    const double weight = std::max(MinGapWeight, 1.0 / double(statistics.count));
    const double difference = value - statistics.meanMs;
    statistics.meanMs += weight * difference;
    statistics.varianceMs += weight * (difference * difference - statistics.varianceMs);
}

Milliseconds stallThreshold(const GapStatistics &statistics, const StallLimits &limits)
{
    if (statistics.count < MinGapCount)
        return limits.maxSilence;
    const double silence = statistics.meanMs + StallDeviations * std::sqrt(statistics.varianceMs);
    return std::clamp(Milliseconds(qint64(silence)), limits.minSilence, limits.maxSilence);
}

} // namespace cranberry
