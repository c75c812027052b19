// Defines chooseTarget, which target a request goes to.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/DistanceCosts.h"
#include "relay/EngineTraits.h"

#include <QList>
#include <QSet>

#include <optional>

namespace cranberry {

struct TargetRecord;

/// What a request asks of a target and who asks.
struct TargetNeed {
    /// From where distance is counted.
    DataCentreId dataCentre;
    /// That of the daemon, which knows the targets there first hand.
    DataCentreId home;
    /// Memory for the prompt and the answer by the forecast; zero at plain services.
    Tokens tokens;
    std::optional<EngineTraits> engine;
    QSet<TargetId> excluded;
    /// Prompt tokens, its own included, that a target can read until the request must have begun;
    /// unset for a request without a prompt to read.
    std::optional<Tokens> readable;
    Tokens prompt;
    DistanceCosts distance;
};

/// A chosen target and the figures that decided.
struct TargetPick {
    const TargetRecord *target = nullptr;
    /// Part of its capacity that is taken with the request, 1 is full.
    double load = 0;
};

/// A target that may be chosen; the lowest score is the best.
struct ScoredTarget {
    const TargetRecord *target = nullptr;
    /// It failed lately; chosen only if there is no other.
    bool isSuspect = false;
    double score = 0;
};

/// All targets that @p need may go to, the best one first. Thread-safe.
QList<ScoredTarget> rankTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                                MonotonicTime now);

/// Part of the capacity of @p target that would be taken with @p need. Thread-safe.
double loadWith(const TargetRecord &target, const TargetNeed &need, MonotonicTime now);

/// Part of the memory of all @p targets that generations take by the forecasts, without copies that
/// are kept of them. Thread-safe.
double meanLoad(const QList<const TargetRecord *> &targets, const EngineTraits &engine,
                MonotonicTime now);

/// The target with the best mix of load, distance and reliability; none if all are excluded or
/// none is there. Suspected targets are chosen only if there is no other. Thread-safe.
TargetPick chooseTarget(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                        MonotonicTime now);

/// The @p count targets that would be looked at first. Thread-safe.
QList<TargetId> likelyTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                              MonotonicTime now, int count);

} // namespace cranberry
