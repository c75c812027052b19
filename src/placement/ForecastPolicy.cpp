#include "placement/ForecastPolicy.h"

namespace cranberry {

namespace {

/// Large enough that a preferred target with free capacity wins over other targets: the prefill
/// that its prefix cache saves shortens the inter-token time of every stream on it.
constexpr double PrefixCacheBonus = 0.8;
/// Breaks ties only: the latency of a message between data centres is small against the time of a
/// token.
constexpr double SameDataCentreBonus = 0.005;
/// Above this pressure a target may run out of memory within the safety margin.
constexpr double MaxPressure = 1.0;
constexpr Tokens InterTokenPrefillBudget{512};
constexpr Tokens StallPrefillBudget{4096};

struct ScoredTarget {
    const TargetLoad *target = nullptr;
    double pressure = 0;
    double score = 0;
};

bool hasPrefillCapacity(const PlacementRequest &request, const ForecastSettings &settings,
                        const TargetLoad &target)
{
    // A prompt larger than the budget must still be placed; it is admitted when no other prefill is
    // in progress.
    if (target.ownPrefillTokens == Tokens(0))
        return true;
    return target.ownPrefillTokens + request.promptTokens <= settings.prefillBudget;
}

/// Uses the number of requests as a stand-in for memory if the target reports no capacity.
double targetPressure(const PlacementRequest &request, const ForecastSettings &settings,
                      const TargetLoad &target)
{
    constexpr double RequestsAtFullPressure = 1000;
    if (target.capacityTokens <= Tokens(0))
        return (target.ownRequests + target.remoteRequests) / RequestsAtFullPressure;
    MemoryForecast withRequest = target.forecast;
    withRequest += request.expectedMemory;
    return memoryPressure(withRequest, target.capacityTokens, settings.sigmas);
}

double localityBonus(const PlacementRequest &request, const TargetLoad &target)
{
    return (target.preferredForPrefix ? PrefixCacheBonus : 0)
        + (target.dataCentre == request.dataCentre ? SameDataCentreBonus : 0);
}

bool isIdle(const TargetLoad &target)
{
    return target.ownRequests == 0 && target.remoteRequests == 0;
}

} // namespace

ForecastSettings forecastSettings(const ServiceConfiguration &service)
{
    const bool interToken = service.objective == Objective::InterToken;
    return {normalUpperQuantile(service.preemptionChance),
            interToken ? InterTokenPrefillBudget : StallPrefillBudget};
}

double placementScore(const PlacementRequest &request, const ForecastSettings &settings,
                      const TargetLoad &target)
{
    return targetPressure(request, settings, target) - localityBonus(request, target);
}

Placement placeForecast(const PlacementRequest &request, const ForecastSettings &settings,
                        const QList<TargetLoad> &usable, quint64 draw)
{
    ScoredTarget best;
    const auto count = usable.size();
    const auto start = qsizetype(draw % quint64(count));
    for (qsizetype i = 0; i < count; ++i) {
        const TargetLoad &target = usable[(start + i) % count];
        if (request.preferredOnly && !target.preferredForPrefix)
            continue;
        if (!hasPrefillCapacity(request, settings, target))
            continue;
        const double pressure = targetPressure(request, settings, target);
        // An idle target accepts any request; otherwise a request too large for any target would
        // never be placed.
        if (pressure > MaxPressure && !isIdle(target))
            continue;
        const double score = pressure - localityBonus(request, target);
        if (!best.target || score < best.score)
            best = {&target, pressure, score};
    }
    if (!best.target)
        return {PlacementOutcome::Wait, {}, {}, QStringLiteral("full=%1").arg(count)};
    return {PlacementOutcome::Chosen,
            best.target->target,
            {},
            QStringLiteral("pressure=%1 prefix=%2 of=%3")
                .arg(best.pressure, 0, 'f', 3)
                .arg(best.target->preferredForPrefix ? 1 : 0)
                .arg(count)};
}

} // namespace cranberry
