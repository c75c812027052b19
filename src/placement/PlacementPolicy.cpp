#include "placement/PlacementPolicy.h"

namespace cranberry {

namespace {

/// Of two targets drawn at random the one with fewer requests of this daemon.
const TargetLoad &lighterOfTwo(const QList<TargetLoad> &targets, quint64 random)
{
    const auto count = quint64(targets.size());
    const TargetLoad &first = targets[qsizetype(random % count)];
    const TargetLoad &second = targets[qsizetype((random / count) % count)];
    return second.ownRequests < first.ownRequests ? second : first;
}

} // namespace

Placement place(const PlacementRequest &request, const ServiceConfiguration &service,
                const QList<TargetLoad> &targets, quint64 random)
{
    Q_UNUSED(service)
    QList<TargetLoad> usable;
    for (const TargetLoad &target : targets) {
        if (!request.excluded.contains(target.target))
            usable.append(target);
    }
    if (usable.isEmpty())
        return {PlacementOutcome::Wait, {}, QStringLiteral("usable=0")};
    const TargetLoad &chosen = lighterOfTwo(usable, random);
    return {PlacementOutcome::Chosen, chosen.target,
            QStringLiteral("own_requests=%1").arg(chosen.ownRequests)};
}

} // namespace cranberry
