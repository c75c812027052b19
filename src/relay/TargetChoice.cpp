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
/// Speeds of targets are compared if one is this much faster than another; less is chance.
constexpr double MinSpeedRatio = 1.3;
/// Fewer observations say little about a target.
constexpr double MinSpeedSamples = 3;
/// Tokens per ms that an engine of unknown speed reads; see UnreadTokensPerLoad.
constexpr double AssumedReadingRate = 7;
/// Weight of the load of a target beside the expected time there.
constexpr double EqualTimeWeight = 0.1;
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

KnownLoad knownLoad(const TargetRecord &target, MonotonicTime now,
                    Milliseconds timeout = PeerLoadTimeout)
{
    KnownLoad load;
    load.tokens = double(target.ownTokens.value());
    load.backup = double(target.ownBackup.value());
    load.unread = double(target.ownUnread.value());
    load.running = target.ownRunning;
    for (const PeerLoad &peer : target.peers) {
        if (now - peer.heardAt > timeout)
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
    const KnownLoad known = knownLoad(target, now, need.loadTimeout);
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

/// What is known of the speed of all targets of a choice.
struct SpeedView {
    /// Times of service, and rates of reading, of targets that are not known count as the mean.
    double meanService = 0;
    double meanReading = AssumedReadingRate;
    bool differs = false;
};

SpeedView speedView(const QList<const TargetRecord *> &targets, const TargetNeed &need)
{
    SpeedView view;
    if (!need.usesSpeed)
        return view;
    double sum = 0;
    double lowest = 0;
    double highest = 0;
    int known = 0;
    for (const TargetRecord *target : targets) {
        const ObservedMean &mean = need.engine ? target->speed.reading : target->speed.service;
        if (mean.samples < MinSpeedSamples)
            continue;
        lowest = known == 0 ? mean.value : std::min(lowest, mean.value);
        highest = std::max(highest, mean.value);
        sum += mean.value;
        ++known;
    }
    if (known == 0)
        return view;
    (need.engine ? view.meanReading : view.meanService) = sum / known;
    view.differs = known > 1 && highest > MinSpeedRatio * lowest;
    return view;
}

/// How much longer than the mean a plain request takes at @p target.
double slowness(const TargetRecord &target, const SpeedView &view)
{
    const ObservedMean &service = target.speed.service;
    return view.differs && service.samples >= MinSpeedSamples ? service.value / view.meanService
                                                              : 1;
}

double readingRate(const TargetRecord &target, const SpeedView &view)
{
    const ObservedMean &reading = target.speed.reading;
    if (!view.differs)
        return AssumedReadingRate;
    return reading.samples >= MinSpeedSamples ? reading.value : view.meanReading;
}

/// Delay that unread prompts at the target cause, as a fraction of the objective for the first
/// event. Includes the prompt of the request itself if targets differ in speed.
double readingDelay(const TargetRecord &target, const TargetNeed &need, const SpeedView &view,
                    MonotonicTime now)
{
    const double unread = knownLoad(target, now, need.loadTimeout).unread
        + (view.differs ? double(need.prompt.value()) : 0);
    return unread * (AssumedReadingRate / readingRate(target, view)) / UnreadTokensPerLoad;
}

int plainRunning(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    return need.slotOvercommit ? knownLoad(target, now, need.loadTimeout).running
                               : target.ownRunning;
}

double plainLoad(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    return double(plainRunning(target, need, now) + 1) / std::max(target.entry.slots, 1);
}

/// Requests of all daemons that a target of a plain service takes while the service is contended.
int slotLimit(const TargetRecord &target, const TargetNeed &need)
{
    const int slotCount = std::max(target.entry.slots, 1);
    const int beyond = int(std::lround(*need.slotOvercommit * slotCount));
    return slotCount + std::clamp(beyond, 1, std::max(slotCount / 2, 1));
}

/// Without differences in speed, the load. With the loads of all daemons, the expected time in
/// relation to the mean time of service; the load decides between equal ones. While daemons do not
/// know each other's load, a random factor spreads their requests in proportion to what targets can
/// do; otherwise all would choose the fastest.
double plainScore(const TargetRecord &target, const TargetNeed &need, const SpeedView &view,
                  MonotonicTime now)
{
    const double load = plainLoad(target, need, now);
    if (!view.differs)
        return load;
    const double service = slowness(target, view);
    if (need.slotOvercommit)
        return expectedTime(service, plainRunning(target, need, now), target.entry.slots)
            + EqualTimeWeight * load;
    return -std::log1p(-QRandomGenerator::global()->generateDouble()) * load * service;
}

double distanceCost(const TargetRecord &target, const TargetNeed &need, MonotonicTime now)
{
    const DataCentreId &dataCentre = target.entry.dataCentre;
    const bool isKnown = !need.engine || dataCentre == need.daemonDataCentre
        || now - target.ownerReportedAt < PeerLoadTimeout;
    return (dataCentre == need.dataCentre ? 0 : need.distance.otherDataCentre)
        + (isKnown ? 0 : need.distance.unreported);
}

double score(const TargetRecord &target, const TargetNeed &need, const SpeedView &view,
             MonotonicTime now)
{
    const double load =
        need.engine ? engineLoad(target, need, now, false) : plainScore(target, need, view, now);
    double value = load + failurePenalty(target, now);
    if (need.engine)
        value += readingDelay(target, need, view, now);
    value += distanceCost(target, need, now);
    if (target.isCold(now))
        value += ColdPenalty;
    return value + Jitter * QRandomGenerator::global()->generateDouble();
}

/// Whether the request is allowed there, regardless of the scores.
bool hasRoom(const TargetRecord &target, const TargetNeed &need, const SpeedView &view,
             MonotonicTime now)
{
    if (target.isPaced(now) && target.nextColdSend > now)
        return false;
    if (!need.engine)
        return !need.slotOvercommit
            || knownLoad(target, now, need.loadTimeout).running < slotLimit(target, need);
    if (target.fullUntil > now)
        return false;
    if (!need.unreadLimit)
        return true;
    if (target.firstUseAfter > now)
        return false;
    const double before = knownLoad(target, now, need.loadTimeout).unread;
    const double coldSlowdown = target.isCold(now) ? ColdReadSlowdown : 1;
    const double slowdown = coldSlowdown * AssumedReadingRate / readingRate(target, view);
    const double unread = before + double(need.prompt.value());
    return unread * slowdown <= double(need.unreadLimit->value());
}

} // namespace

QList<ScoredTarget> rankTargets(const QList<const TargetRecord *> &targets, const TargetNeed &need,
                                MonotonicTime now)
{
    QList<ScoredTarget> all;
    QList<const TargetRecord *> remote;
    const SpeedView view = speedView(targets, need);
    const bool samplesRemote = need.engine && need.distance.maxRemoteCandidates > 0;
    const auto consider = [&](const TargetRecord *target) {
        all.append({target, target->isSuspect(now), score(*target, need, view, now)});
    };
    for (const TargetRecord *target : targets) {
        if (need.excluded.contains(target->entry.id) || !hasRoom(*target, need, view, now))
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
    return need.engine ? engineLoad(target, need, now, true) : plainLoad(target, need, now);
}

double roomFor(const QList<const TargetRecord *> &targets, const TargetNeed &need, double maxLoad,
               MonotonicTime now)
{
    const SpeedView view = speedView(targets, need);
    TargetNeed nothing = need;
    nothing.tokens = Tokens(0);
    double room = 0;
    for (const TargetRecord *target : targets) {
        const bool isKnown = need.distance.maxRemoteCandidates == 0
            || target->entry.dataCentre == need.daemonDataCentre;
        if (!isKnown || need.excluded.contains(target->entry.id)
            || !hasRoom(*target, need, view, now))
            continue;
        if (!need.engine) {
            const int running = plainRunning(*target, need, now);
            const int limit = need.slotOvercommit ? slotLimit(*target, need) : running + 1;
            room += std::max(limit - running, 0);
            continue;
        }
        const double size = std::max(double(need.tokens.value()), 1.0);
        const double memory = std::max(double(need.engine->memory.value()), 1.0);
        const double free = (maxLoad - engineLoad(*target, nothing, now, true)) * memory;
        room += std::max(std::floor(free / size), 0.0) * size;
    }
    return room;
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
