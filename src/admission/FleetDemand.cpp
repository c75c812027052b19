#include "admission/FleetDemand.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Fewer placements say little about the rate.
constexpr double MinPlacements = 3;
/// The least fraction of the rate of all work that is assumed for a level.
constexpr double MinRateFraction = 0.1;
constexpr double MaxWaitSeconds = 3600;
constexpr double MillisecondsPerSecond = 1000;

/// The fraction of @p waiting that goes before @p urgency.
double partAhead(const WaitingWork &waiting, const Urgency &urgency, MonotonicTime now)
{
    if (urgency.isBrief && !waiting.isBrief)
        return 0;
    if (waiting.level != urgency.level)
        return waiting.level < urgency.level ? 1 : 0;
    if (waiting.returns != urgency.returns)
        return waiting.returns < urgency.returns ? 1 : 0;
    if (urgency.arrived <= waiting.oldest)
        return 0;
    const std::chrono::duration<double> older = urgency.arrived - waiting.oldest;
    const std::chrono::duration<double> span = now - waiting.oldest;
    return span.count() > 0 ? std::min(older / span, 1.0) : 1;
}

template <typename Function>
void forEachWaiting(const FleetDemand &demand, MonotonicTime now, Function function)
{
    function(demand.own);
    for (const DaemonDemand &peer : demand.peers) {
        if (now - peer.reportedAt <= DemandTimeout)
            function(peer);
    }
}

} // namespace

Work operator+(const Work &a, const Work &b)
{
    return {a.room + b.room, a.roomSeconds + b.roomSeconds};
}

Work operator*(double factor, const Work &work)
{
    return {factor * work.room, factor * work.roomSeconds};
}

bool hasWaiting(const FleetDemand &demand, MonotonicTime now)
{
    bool isAny = false;
    forEachWaiting(demand, now,
                   [&](const DaemonDemand &daemon) { isAny = isAny || !daemon.waiting.isEmpty(); });
    return isAny;
}

Work workAhead(const FleetDemand &demand, const Urgency &urgency, MonotonicTime now)
{
    Work work;
    forEachWaiting(demand, now, [&](const DaemonDemand &daemon) {
        for (const WaitingWork &waiting : daemon.waiting)
            work = work + partAhead(waiting, urgency, now) * waiting.work;
    });
    return work;
}

std::optional<double> placedPerSecond(const FleetDemand &demand, const Urgency &urgency,
                                      MonotonicTime now)
{
    double placed = 0;
    double placements = 0;
    double left = 0;
    const auto add = [&](const DaemonDemand &daemon) {
        placements += daemon.placements;
        for (const LevelRate &rate : daemon.placed) {
            placed += rate.perSecond;
            const bool isLeft = rate.level >= urgency.level || (urgency.isBrief && !rate.isBrief);
            left += isLeft ? rate.perSecond : 0;
        }
    };
    add(demand.own);
    for (const DaemonDemand &peer : demand.peers) {
        if (now - peer.ratesAt <= RateTimeout)
            add(peer);
    }
    if (placements < MinPlacements || placed <= 0)
        return std::nullopt;
    return std::max(left, MinRateFraction * placed);
}

std::optional<Milliseconds> expectedWait(const FleetDemand &demand, const Urgency &urgency,
                                         double roomSeconds, MonotonicTime now)
{
    const std::optional<double> rate = placedPerSecond(demand, urgency, now);
    if (!rate)
        return std::nullopt;
    return Milliseconds(
        qint64(std::min(roomSeconds / *rate, MaxWaitSeconds) * MillisecondsPerSecond));
}

bool mayTakeRoom(double room, double ahead, double needed, Milliseconds idle)
{
    if (room < needed)
        return false;
    return room >= ahead + needed || idle >= MaxIdleRoom;
}

} // namespace cranberry
