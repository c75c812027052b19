#include "placement/PlacementPolicy.h"

#include "placement/ForecastPolicy.h"

namespace cranberry {

namespace {

int requestCount(const TargetLoad &target)
{
    return target.remoteRequests + target.ownRequests;
}

Placement chosenTarget(const TargetLoad &target)
{
    return {PlacementOutcome::Chosen,
            target.target,
            {},
            QStringLiteral("requests=%1 own=%2").arg(requestCount(target)).arg(target.ownRequests)};
}

QList<TargetLoad> withoutExcluded(const QList<TargetLoad> &targets, const QSet<TargetId> &excluded)
{
    if (excluded.isEmpty())
        return targets;
    QList<TargetLoad> usable;
    for (const TargetLoad &target : targets) {
        if (!excluded.contains(target.target))
            usable.append(target);
    }
    return usable;
}

} // namespace

bool usesHomeDaemons(const ServiceConfiguration &service)
{
    return service.kind == ServiceKind::Model && service.policy == PolicyName::Forecast;
}

Placement placeRoundRobin(const QList<TargetLoad> &usable, quint64 draw)
{
    return chosenTarget(usable[qsizetype(draw % quint64(usable.size()))]);
}

Placement placeLeastRequests(const QList<TargetLoad> &usable, quint64 draw)
{
    const auto count = usable.size();
    const auto start = qsizetype(draw % quint64(count));
    const TargetLoad *best = &usable[start];
    for (qsizetype i = 1; i < count; ++i) {
        const TargetLoad &candidate = usable[(start + i) % count];
        if (requestCount(candidate) < requestCount(*best))
            best = &candidate;
    }
    return chosenTarget(*best);
}

Placement placeTwoChoices(const QList<TargetLoad> &usable, quint64 draw)
{
    const auto count = quint64(usable.size());
    const quint64 first = draw % count;
    if (count == 1)
        return chosenTarget(usable.first());
    const quint64 step = 1 + (draw / count) % (count - 1);
    const TargetLoad &a = usable[qsizetype(first)];
    const TargetLoad &b = usable[qsizetype((first + step) % count)];
    return chosenTarget(requestCount(b) < requestCount(a) ? b : a);
}

Placement place(const PlacementRequest &request, const ServiceConfiguration &service,
                const QList<TargetLoad> &targets, quint64 draw)
{
    const QList<TargetLoad> usable = withoutExcluded(targets, request.excluded);
    if (usable.isEmpty())
        return {PlacementOutcome::NoUsableTarget, {}, {}, QStringLiteral("usable=0")};
    switch (service.policy) {
    case PolicyName::RoundRobin:
        return placeRoundRobin(usable, draw);
    case PolicyName::LeastRequests:
        return placeLeastRequests(usable, draw);
    case PolicyName::TwoChoices:
        return placeTwoChoices(usable, draw);
    case PolicyName::Forecast:
        return placeForecast(request, forecastSettings(service), usable, draw);
    }
    Q_UNREACHABLE();
}

} // namespace cranberry
