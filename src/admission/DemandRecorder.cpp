#include "admission/DemandRecorder.h"

#include <cmath>
#include <utility>

namespace cranberry {

namespace {

constexpr double DecaySeconds = 3;
/// A rate over a shorter time is not reported.
constexpr double MinBusySeconds = 0.05;
/// Lower rates are left out.
constexpr double MinPerSecond = 0.01;

void advance(DemandRecorder &recorder, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - recorder.updatedAt.value_or(now);
    recorder.updatedAt = now;
    if (!recorder.isMeasuring)
        return;
    const double decay = std::exp(-elapsed.count() / DecaySeconds);
    for (auto &[key, placed] : recorder.placed)
        placed *= decay;
    recorder.placements *= decay;
    recorder.busySeconds = recorder.busySeconds * decay + elapsed.count();
}

} // namespace

void recordBusy(DemandRecorder &recorder, bool isBusy, MonotonicTime now)
{
    advance(recorder, now);
    recorder.isBusy = isBusy;
    recorder.isMeasuring = recorder.isMeasuring && isBusy;
}

void recordPlaced(DemandRecorder &recorder, const Urgency &urgency, double roomSeconds,
                  MonotonicTime now)
{
    advance(recorder, now);
    if (!recorder.isBusy)
        return;
    // The first placement begins the time that the others are counted in.
    if (!std::exchange(recorder.isMeasuring, true))
        return;
    recorder.placed[{urgency.level, urgency.isBrief}] += roomSeconds;
    recorder.placements += 1;
}

void setRates(DaemonDemand &demand, DemandRecorder &recorder, MonotonicTime now)
{
    advance(recorder, now);
    demand.placed.clear();
    demand.placements = 0;
    if (recorder.busySeconds < MinBusySeconds)
        return;
    demand.placements = recorder.placements;
    for (const auto &[key, placed] : recorder.placed) {
        const double rate = placed / recorder.busySeconds;
        if (rate >= MinPerSecond)
            demand.placed.append({key.first, rate, key.second});
    }
}

} // namespace cranberry
