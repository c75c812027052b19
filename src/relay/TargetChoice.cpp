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
/// A target reads so much slower at first.
constexpr double ColdSlowness = 2;
/// Prompt tokens before a request that count as a whole engine's memory. An engine that also
/// generates reads about 7 tokens in a ms: 10,000 take as long as the time to the first event.
constexpr double TokensReadAtOnce = 10000;
/// A report older than this says nothing of now.
constexpr Milliseconds ReportHolds{2000};
/// Equal targets are told apart at random, so that daemons with equal knowledge spread out.
constexpr double Jitter = 0.03;

double failurePenalty(const TargetRecord &target, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - target.lastOutcomeAt;
    return FailurePenalty * target.failureRate * std::exp2(-age.count() / FailureHalfLife);
}

/// What all daemons have at a target, as far as it is known.
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

/// @p withBackups: the memory that copies take counts, as it does for room; it does not for pace.
double engineLoad(const TargetRecord &target, const TargetNeed &need, MonotonicTime now,
                  bool withBackups)
{
    const double capacity = std::max<double>(double(need.engine->memory.value()), 1);
    const KnownLoad known = knownLoad(target, now);
    double used = known.tokens + known.backup;
    int running = known.running;
    const bool hasReport = target.report && now - target.reportedAt < ReportHolds;
    if (hasReport) {
        // What the daemons know of covers their forecasts; what only the engine knows of, such
        // as copies, shows in its report.
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

/// Part of the time to the first event that the prompts before this one take.
double readingDelay(const TargetRecord &target, MonotonicTime now)
{
    return knownLoad(target, now).unread / TokensReadAtOnce;
}

double plainLoad(const TargetRecord &target)
{
    return double(target.ownRunning + 1) / std::max(target.entry.slots, 1);
}

double distanceCost(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    const DataCentreId &place = target.entry.dataCentre;
    const bool isKnown =
        !need.engine || place == need.home || now - target.ownerReportedAt < PeerLoadTimeout;
    return (place == need.dataCentre ? 0 : need.distance.away)
        + (isKnown ? 0 : need.distance.unknown);
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

/// Whether the request may go there at all, whatever the others' scores are.
bool hasRoom(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    if (target.isPaced(now) && target.nextColdSend > now)
        return false;
    if (!need.engine)
        return true;
    if (target.fullUntil > now)
        return false;
    if (!need.readable)
        return true;
    if (target.firstUseAfter > now)
        return false;
    const double before = knownLoad(target, now).unread;
    const double slowness = target.isCold(now) ? ColdSlowness : 1;
    const double unread = before + double(need.prompt.value());
    return unread * slowness <= double(need.readable->value());
}

} // namespace

QList<ScoredTarget> rankTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                                MonotonicTime now)
{
    QList<ScoredTarget> all;
    QList<const TargetRecord *> away;
    const bool drawsAway = need.engine && need.distance.mostAway > 0;
    const auto consider = [&](const TargetRecord *target) {
        all.append({target, target->suspectUntil > now, score(*target, need, now)});
    };
    for (const TargetRecord *target : targets) {
        if (need.excluded.contains(target->entry.id) || !hasRoom(*target, need, now))
            continue;
        const DataCentreId &place = target->entry.dataCentre;
        if (drawsAway && place != need.home && place != need.dataCentre)
            away.append(target);
        else
            consider(target);
    }
    for (int drawn = 0; drawn < need.distance.mostAway && !away.isEmpty(); ++drawn)
        consider(away.takeAt(QRandomGenerator::global()->bounded(int(away.size()))));
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

QList<TargetId> likelyTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                              MonotonicTime now, int count)
{
    QList<TargetId> ids;
    const QList<ScoredTarget> all = rankTargets(targets, need, now);
    for (const ScoredTarget &candidate : all.first(std::min<qsizetype>(count, all.size())))
        ids.append(candidate.target->entry.id);
    return ids;
}

} // namespace cranberry
