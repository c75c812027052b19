#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/DistanceCosts.h"
#include "relay/EngineTraits.h"
#include "relay/PeerLoad.h"

#include <QList>
#include <QSet>

#include <optional>

namespace cranberry {

struct TargetRecord;

/// Requirements of a request on its target.
struct TargetNeed {
    /// Targets elsewhere incur the costs of DistanceCosts.
    DataCentreId dataCentre;
    /// Data centre of the daemon; its daemons know the load of the targets there without delay.
    DataCentreId daemonDataCentre;
    /// Expected memory of the prompt and the answer; zero for plain services.
    Tokens tokens;
    std::optional<EngineTraits> engine;
    QSet<TargetId> excluded;
    /// Maximum number of unread prompt tokens at the target, including those of this request, that
    /// still lets the request begin on time; unset for a request without a prompt.
    std::optional<Tokens> unreadLimit;
    Tokens prompt;
    /// Requests of all daemons that a target of a plain service takes beyond its slots, as a
    /// fraction of these; unset while daemons do not share the load of the service.
    std::optional<double> slotOvercommit;
    /// How long reports of peers are valid.
    Milliseconds loadTimeout = PeerLoadTimeout;
    /// Targets are compared by what was observed of their speed.
    bool usesSpeed = false;
    DistanceCosts distance;
};

/// A selected target with its load.
struct TargetPick {
    const TargetRecord *target = nullptr;
    /// Fraction of its capacity in use including the request; 1 is full.
    double load = 0;
};

/// A candidate target; a lower score is better.
struct ScoredTarget {
    const TargetRecord *target = nullptr;
    /// It failed or rejected a request recently; it is selected only if all candidates are suspect.
    bool isSuspect = false;
    double score = 0;
};

/// Returns all targets that are allowed for @p need, best first. Thread-safe.
QList<ScoredTarget> rankTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                                MonotonicTime now);

/// Returns the fraction of the capacity of @p target that is in use once @p need is placed there.
/// Thread-safe.
double loadWith(const TargetRecord &target, const TargetNeed &need, MonotonicTime now);

/// Returns the room that @p targets have for requests of the size of @p need: slots of a plain
/// service, else expected tokens at engines with a load of at most @p maxLoad. Only targets whose
/// load is known are counted. Thread-safe.
double roomFor(const QList<const TargetRecord *> &targets, const TargetNeed &need, double maxLoad,
               MonotonicTime now);

/// Returns the forecast memory use of generations as a fraction of the memory of all @p targets,
/// excluding backup copies. Thread-safe.
double meanLoad(const QList<const TargetRecord *> &targets, const EngineTraits &engine,
                MonotonicTime now);

/// Returns the target with the lowest combined cost of load, distance and failures; null if every
/// target is excluded or there is none. A suspect target is selected only if no other is available.
/// Thread-safe.
TargetPick chooseTarget(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                        MonotonicTime now);

/// Returns the ids of the @p count best targets. Thread-safe.
QList<TargetId> bestTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                            MonotonicTime now, int count);

} // namespace cranberry
