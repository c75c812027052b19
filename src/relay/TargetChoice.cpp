#include "relay/TargetChoice.h"

#include "relay/TargetRecord.h"

#include <QRandomGenerator>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Load added to the score of a target that fails every request.
constexpr double FailurePenalty = 6.0;
/// Half-life in seconds of the observed failure rate.
constexpr double FailureHalfLife = 4.0;
/// Load added to the score of a target that is still slow after its start.
constexpr double ColdPenalty = 0.3;
/// Factor by which a cold target reads prompts more slowly.
constexpr double ColdReadSlowdown = 2;
/// Unread prompt tokens that weigh as much as a full engine. An engine that also generates reads
/// about 7 tokens per ms: reading 10,000 takes as long as the objective for the first event.
constexpr double UnreadTokensPerLoad = 10000;
/// Load reports older than this are ignored.
constexpr Milliseconds ReportLifetime{2000};
/// Random score component; it makes daemons with identical information choose different targets.
constexpr double Jitter = 0.03;

double failurePenalty(const TargetRecord &target, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - target.lastOutcomeAt;
    return FailurePenalty * target.failureRate * std::exp2(-age.count() / FailureHalfLife);
}

/// Known load of a target from all daemons.
struct KnownLoad {
    double tokens = 0;
    double backup = 0;
    double unread = 0;
    int running = 0;
};

KnownLoad knownLoad(const TargetRecord &target, MonotonicTime now)
{
    KnownLoad load;
    load.tokens = double(target.ownTokens.value());
    load.backup = double(target.ownBackup.value());
    load.unread = double(target.ownUnread.value());
    load.running = target.ownRunning;
    for (const PeerLoad &peer : target.peers) {
        if (now - peer.heardAt > PeerLoadTimeout)
            continue;
        load.tokens += double(peer.tokens.value());
        load.backup += double(peer.backup.value());
        load.unread += double(peer.unread.value());
        load.running += peer.running;
    }
    return load;
}

/// @p withBackups: include the memory of backup copies. It counts when checking for room but not
/// when comparing speed.
double engineLoad(const TargetRecord &target, const TargetNeed &need, MonotonicTime now,
                  bool withBackups)
{
    const double capacity = std::max<double>(double(need.engine->memory.value()), 1);
    const KnownLoad known = knownLoad(target, now);
    double used = known.tokens + known.backup;
    int running = known.running;
    const bool hasReport = target.report && now - target.reportedAt < ReportLifetime;
    if (hasReport) {
        // The load reported by daemons includes forecast output. Load that only the engine knows
        // of, such as copies, is visible in its report alone.
        used =
            std::max(used, double(target.report->used.value() + target.tokensSinceReport.value()));
        running = std::max(running, target.report->running + target.placedSinceReport);
    }
    if (!withBackups)
        used = std::max(used - known.backup, known.tokens);
    const double memory = (used + double(need.tokens.value())) / capacity;
    const double slots = double(running + 1) / std::max(need.engine->batchSlots, 1);
    return std::max(memory, slots);
}

/// Delay that unread prompts at the target cause, as a fraction of the objective for the first
/// event.
double readingDelay(const TargetRecord &target, MonotonicTime now)
{
    return knownLoad(target, now).unread / UnreadTokensPerLoad;
}

double plainLoad(const TargetRecord &target)
{
    return double(target.ownRunning + 1) / std::max(target.entry.slots, 1);
}

double distanceCost(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    const DataCentreId &dataCentre = target.entry.dataCentre;
    const bool isKnown = !need.engine || dataCentre == need.daemonDataCentre
        || now - target.ownerReportedAt < PeerLoadTimeout;
    return (dataCentre == need.dataCentre ? 0 : need.distance.otherDataCentre)
        + (isKnown ? 0 : need.distance.unreported);
}

double score(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    const double load = need.engine ? engineLoad(target, need, now, false) : plainLoad(target);
    double value = load + failurePenalty(target, now);
    if (need.engine)
        value += readingDelay(target, now);
    value += distanceCost(target, need, now);
    if (target.isCold(now))
        value += ColdPenalty;
    return value + Jitter * QRandomGenerator::global()->generateDouble();
}

/// Whether the request is allowed there, regardless of the scores.
bool hasRoom(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    if (target.isPaced(now) && target.nextColdSend > now)
        return false;
    if (!need.engine)
        return true;
    if (target.fullUntil > now)
        return false;
    if (!need.unreadLimit)
        return true;
    if (target.firstUseAfter > now)
        return false;
    const double before = knownLoad(target, now).unread;
    const double slowness = target.isCold(now) ? ColdReadSlowdown : 1;
    const double unread = before + double(need.prompt.value());
    return unread * slowness <= double(need.unreadLimit->value());
}

} // namespace

QList<ScoredTarget> rankTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                                MonotonicTime now)
{
    QList<ScoredTarget> all;
    QList<const TargetRecord *> remote;
    const bool samplesRemote = need.engine && need.distance.maxRemoteCandidates > 0;
    const auto consider = [&](const TargetRecord *target) {
        all.append({target, target->isSuspect(now), score(*target, need, now)});
    };
    for (const TargetRecord *target : targets) {
        if (need.excluded.contains(target->entry.id) || !hasRoom(*target, need, now))
            continue;
        const DataCentreId &dataCentre = target->entry.dataCentre;
        if (samplesRemote && dataCentre != need.daemonDataCentre && dataCentre != need.dataCentre)
            remote.append(target);
        else
            consider(target);
    }
    for (int drawn = 0; drawn < need.distance.maxRemoteCandidates && !remote.isEmpty(); ++drawn)
        consider(remote.takeAt(QRandomGenerator::global()->bounded(int(remote.size()))));
    std::sort(all.begin(), all.end(), [](const ScoredTarget &a, const ScoredTarget &b) {
        return a.isSuspect != b.isSuspect ? b.isSuspect : a.score < b.score;
    });
    return all;
}

double loadWith(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    return need.engine ? engineLoad(target, need, now, true) : plainLoad(target);
}

double meanLoad(const QList<const TargetRecord *> &targets, const EngineTraits &engine,
                MonotonicTime now)
{
    double tokens = 0;
    for (const TargetRecord *target : targets)
        tokens += knownLoad(*target, now).tokens;
    const double capacity = double(engine.memory.value()) * double(targets.size());
    return tokens / std::max(capacity, 1.0);
}

TargetPick chooseTarget(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                        MonotonicTime now)
{
    const QList<ScoredTarget> all = rankTargets(targets, need, now);
    if (all.isEmpty())
        return {};
    return {all.first().target, loadWith(*all.first().target, need, now)};
}

QList<TargetId> bestTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                            MonotonicTime now, int count)
{
    QList<TargetId> ids;
    const QList<ScoredTarget> all = rankTargets(targets, need, now);
    for (const ScoredTarget &candidate : all.first(std::min<qsizetype>(count, all.size())))
        ids.append(candidate.target->entry.id);
    return ids;
}

} // namespace cranberry
