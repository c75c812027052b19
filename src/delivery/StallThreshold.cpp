#include "delivery/StallThreshold.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr double Decay = 0.02;
constexpr double Deviations = 8.0;
constexpr qint64 EnoughGaps = 20;

} // namespace

void observeGap(GapStatistics &statistics, Milliseconds gap)
{
    const double value = double(gap.count());
    ++statistics.count;
    const double weight = std::max(Decay, 1.0 / double(statistics.count));
    const double difference = value - statistics.meanMs;
    statistics.meanMs += weight * difference;
    statistics.varianceMs += weight * (difference * difference - statistics.varianceMs);
}

Milliseconds stallThreshold(const GapStatistics &statistics, const StallLimits &limits)
{
    if (statistics.count < EnoughGaps)
        return limits.ceiling;
    const double silence = statistics.meanMs + Deviations * std::sqrt(statistics.varianceMs);
    return std::clamp(Milliseconds(qint64(silence)), limits.floor, limits.ceiling);
}

} // namespace cranberry
