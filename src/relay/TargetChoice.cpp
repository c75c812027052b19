#include "relay/TargetChoice.h"

#include "relay/TargetRecord.h"

#include <QRandomGenerator>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Load that a target which fails every request counts as more.
constexpr double FailurePenalty = 6.0;
/// Seconds after which what was seen of failures counts half.
constexpr double FailureHalfLife = 4.0;
/// Load that a target still slow after its start counts as more.
constexpr double ColdPenalty = 0.3;
/// Load of each request that waits inside an engine.
constexpr double QueuedPenalty = 0.1;
/// Memory that each running generation is expected to take still: about half of a mean answer.
constexpr double GrowthTokens = 350;
/// Equal targets are told apart at random, so that daemons with equal knowledge spread out.
constexpr double Jitter = 0.03;

double failurePenalty(const TargetRecord &target, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - target.failureSeen;
    return FailurePenalty * target.failureShare * std::exp2(-age.count() / FailureHalfLife);
}

double engineLoad(const TargetRecord &target, const TargetNeed &need)
{
    const double capacity = std::max<double>(double(need.engine->memory.value()), 1);
    double used = double(target.ownTokens.value());
    int running = target.ownRunning;
    double queued = 0;
    if (target.report) {
        const double reported = double(target.report->used.value())
            + GrowthTokens * target.report->running + double(target.tokensSince.value());
        used = std::max(used, reported);
        running = std::max(running, target.report->running + target.placedSince);
        queued = target.report->queued;
    }
    const double memory = (used + double(need.tokens.value())) / capacity;
    const double slots = double(running + 1) / std::max(need.engine->batchSlots, 1);
    return std::max(memory, slots) + QueuedPenalty * queued;
}

double plainLoad(const TargetRecord &target)
{
    return double(target.ownRunning + 1) / std::max(target.entry.slots, 1);
}

double score(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    double value = loadWith(target, need) + failurePenalty(target, now);
    if (target.entry.dataCentre != need.dataCentre)
        value += need.distancePenalty;
    const bool isCold = now - target.since < target.entry.coldLeft;
    if (isCold)
        value += ColdPenalty;
    return value + Jitter * QRandomGenerator::global()->generateDouble();
}

struct Scored {
    const TargetRecord *target;
    bool isSuspect;
    double score;
};

QList<Scored> ranked(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                     MonotonicTime now)
{
    QList<Scored> all;
    for (const TargetRecord *target : targets) {
        if (!need.excluded.contains(target->entry.id))
            all.append({target, target->suspectUntil > now, score(*target, need, now)});
    }
    std::sort(all.begin(), all.end(), [](const Scored &a, const Scored &b) {
        return a.isSuspect != b.isSuspect ? b.isSuspect : a.score < b.score;
    });
    return all;
}

} // namespace

double loadWith(const TargetRecord &target, const TargetNeed &need)
{
    return need.engine ? engineLoad(target, need) : plainLoad(target);
}

TargetPick chooseTarget(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                        MonotonicTime now)
{
    const QList<Scored> all = ranked(targets, need, now);
    if (all.isEmpty())
        return {};
    return {all.first().target, loadWith(*all.first().target, need)};
}

QList<TargetId> likelyTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                              MonotonicTime now, int count)
{
    QList<TargetId> ids;
    const QList<Scored> all = ranked(targets, need, now);
    for (const Scored &candidate : all.first(std::min<qsizetype>(count, all.size())))
        ids.append(candidate.target->entry.id);
    return ids;
}

} // namespace cranberry
