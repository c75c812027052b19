#include "placement/ForecastPolicy.h"

namespace cranberry {

namespace {

/// A target on which the prefix is wanted is taken before others while it has room: the prompt
/// work that its cache saves is time between tokens for every stream on it.
constexpr double PrefixBonus = 0.8;
/// Only a tie-break: a message between data centres costs little against a token.
constexpr double SameDataCentreBonus = 0.005;
/// A target that may run out if everything goes badly is full.
constexpr double FullPressure = 1.0;
constexpr Tokens InterTokenPrefillBudget{512};
constexpr Tokens StallPrefillBudget{4096};

struct Scored {
    const TargetLoad *target = nullptr;
    double pressure = 0;
    double score = 0;
};

bool hasPrefillRoom(const PlacementRequest &request, const ForecastSettings &settings,
                    const TargetLoad &target)
{
    // A prompt over the budget still has to go somewhere: it goes alone.
    if (target.ownPrefillTokens == Tokens(0))
        return true;
    return target.ownPrefillTokens + request.promptTokens <= settings.prefillBudget;
}

/// Without a capacity nothing can be forecast; requests stand in for memory.
double pressureOn(const PlacementRequest &request, const ForecastSettings &settings,
                  const TargetLoad &target)
{
    constexpr double ManyRequests = 1000;
    if (target.capacityTokens <= Tokens(0))
        return (target.ownRequests + target.othersRequests) / ManyRequests;
    MemoryForecast all = target.forecast;
    all += request.growth;
    return pressure(all, target.capacityTokens, settings.sigmas);
}

double bonusOf(const PlacementRequest &request, const TargetLoad &target)
{
    return (target.preferredForPrefix ? PrefixBonus : 0)
        + (target.dataCentre == request.dataCentre ? SameDataCentreBonus : 0);
}

bool isEmpty(const TargetLoad &target)
{
    return target.ownRequests == 0 && target.othersRequests == 0;
}

} // namespace

ForecastSettings forecastSettings(const ServiceConfiguration &service)
{
    const bool interToken = service.objective == Objective::InterToken;
    return {sigmasFor(service.preemptionChance),
            interToken ? InterTokenPrefillBudget : StallPrefillBudget};
}

double placementScore(const PlacementRequest &request, const ForecastSettings &settings,
                      const TargetLoad &target)
{
    return pressureOn(request, settings, target) - bonusOf(request, target);
}

Placement placeForecast(const PlacementRequest &request, const ForecastSettings &settings,
                        const QList<TargetLoad> &usable, quint64 draw)
{
    Scored best;
    const auto count = usable.size();
    const auto start = qsizetype(draw % quint64(count));
    for (qsizetype i = 0; i < count; ++i) {
        const TargetLoad &target = usable[(start + i) % count];
        if (request.preferredOnly && !target.preferredForPrefix)
            continue;
        if (!hasPrefillRoom(request, settings, target))
            continue;
        const double filled = pressureOn(request, settings, target);
        // An empty target takes any request: one that never fits must not wait for ever.
        if (filled > FullPressure && !isEmpty(target))
            continue;
        const double score = filled - bonusOf(request, target);
        if (!best.target || score < best.score)
            best = {&target, filled, score};
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
