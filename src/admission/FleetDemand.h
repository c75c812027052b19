#pragma once

#include "admission/Urgency.h"
#include "base/Ids.h"

#include <QHash>
#include <QList>

#include <optional>

namespace cranberry {

/// What other daemons report as waiting is ignored after this time; they repeat it each 150 to 400
/// ms, depending on the size of the fleet.
constexpr Milliseconds DemandTimeout{900};
/// Reported rates are used for this time; daemons repeat them each 1.5 s.
constexpr Milliseconds RateTimeout{5000};

/// What a request, or several, take of a service.
struct Work {
    /// Slots of a plain service, or expected tokens of an engine.
    double room = 0;
    /// Room times the seconds for which it is taken: what room is competed for with.
    double roomSeconds = 0;
};

Work operator+(const Work &a, const Work &b);
Work operator*(double factor, const Work &work);

/// Requests of one urgency that wait for room at one daemon.
struct WaitingWork {
    int level = 0;
    ReturnKind returns = ReturnKind::New;
    int requests = 0;
    Work work;
    /// Arrival of the oldest of them, on the clock of the daemon that holds this.
    MonotonicTime oldest;
    /// See Urgency.
    bool isBrief = false;
};

/// Room seconds of one level that are placed per second.
struct LevelRate {
    int level = 0;
    double perSecond = 0;
    bool isBrief = false;
};

/// What one daemon has to place for one service.
struct DaemonDemand {
    QList<WaitingWork> waiting;
    QList<LevelRate> placed;
    /// Recent placements that the rates stand for.
    double placements = 0;
    /// When what waits and when the rates were received; unused for the daemon's own.
    MonotonicTime reportedAt;
    MonotonicTime ratesAt;
};

/// What all daemons that report to this one have to place for one service.
struct FleetDemand {
    DaemonDemand own;
    QHash<VmId, DaemonDemand> peers;
};

/// Whether any daemon has requests waiting. Thread-safe.
bool hasWaiting(const FleetDemand &demand, MonotonicTime now);

/// The work of all daemons that goes before a request of @p urgency. Requests of the same level and
/// kind are assumed to have arrived evenly since the oldest of them. Before brief requests go brief
/// ones only: gaps that are too small for the others would stay unused until enough room is free
/// at one target. Thread-safe.
Work workAhead(const FleetDemand &demand, const Urgency &urgency, MonotonicTime now);

/// The rate at which the fleet places work of the level of @p urgency and less urgent work, in room
/// seconds per second: what more urgent work leaves. At least a tenth of the rate of all work, as
/// little work of that level may have come. For brief requests also the rate of all others, whose
/// gaps they use. Unset until a few placements have been seen. Thread-safe.
std::optional<double> placedPerSecond(const FleetDemand &demand, const Urgency &urgency,
                                      MonotonicTime now);

/// Expected time until @p roomSeconds of @p urgency are placed, which include what goes before; at
/// most an hour. Unset while no rate is known. Thread-safe.
std::optional<Milliseconds> expectedWait(const FleetDemand &demand, const Urgency &urgency,
                                         double roomSeconds, MonotonicTime now);

/// Room that other daemons leave unused for this long may be taken out of turn: a daemon that
/// cannot use it, or has ended, must not block the others.
constexpr Milliseconds MaxIdleRoom{100};

/// Whether a request that takes @p needed room may be placed while targets have @p room for
/// requests of its size and others that take @p ahead go before it. @p idle: how long there has
/// been room that was left to others. Thread-safe.
bool mayTakeRoom(double room, double ahead, double needed, Milliseconds idle);

} // namespace cranberry
