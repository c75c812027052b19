#include "admission/TargetSpeed.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr double MaxSamples = 16;
/// By count alone, 12 daemons that sent a slow target three requests each in 15 s gave it less than
/// half its part 30 s after it had recovered.
constexpr std::chrono::duration<double> HalfLife{5};

} // namespace

void observe(ObservedMean &mean, double value)
{
    mean.samples = std::min(mean.samples + 1, MaxSamples);
    mean.value += (value - mean.value) / mean.samples;
}

TargetSpeed aged(const TargetSpeed &speed, Milliseconds age)
{
    const double weight = std::exp2(-(age / HalfLife));
    TargetSpeed result = speed;
    for (ObservedMean *mean : {&result.service, &result.reading, &result.pace})
        mean->samples *= weight;
    return result;
}

double serviceTime(double time, int running, int slotCount)
{
    return time / std::max(1.0, double(running) / std::max(slotCount, 1));
}

ObservedMean merged(const ObservedMean &a, const ObservedMean &b)
{
    const double samples = a.samples + b.samples;
    if (samples <= 0)
        return {};
    return {(a.value * a.samples + b.value * b.samples) / samples, samples};
}

TargetSpeed merged(const TargetSpeed &a, const TargetSpeed &b)
{
    return {merged(a.service, b.service), merged(a.reading, b.reading), merged(a.pace, b.pace)};
}

double expectedTime(double service, int running, int slotCount)
{
    return service * std::max(1.0, double(running + 1) / std::max(slotCount, 1));
}

} // namespace cranberry
