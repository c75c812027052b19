#include "quarantine/QuarantineRules.h"

#include <QCryptographicHash>
#include <QSet>

#include <algorithm>
#include <tuple>

namespace cranberry {

namespace {

/// Orders the targets differently for each request, and equally in every process, unlike qHash.
QByteArray preferenceHash(const RequestFingerprint &fingerprint, const TargetId &target)
{
    const QString text = fingerprint.text() + target.text();
    return QCryptographicHash::hash(text.toUtf8(), QCryptographicHash::Sha1);
}

Milliseconds elapsed(MonotonicTime since, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since);
}

/// Removes the entry that @p older orders first if the table is full.
template <typename Table, typename Older>
void evictOldestIfFull(Table &table, int maxEntries, Older older)
{
    if (table.size() < maxEntries)
        return;
    auto oldest = table.begin();
    for (auto entry = table.begin(); entry != table.end(); ++entry) {
        if (older(*entry, *oldest))
            oldest = entry;
    }
    table.erase(oldest);
}

void addSuspect(QuarantineState &state, const RequestFingerprint &fingerprint,
                const SuspectRequest &suspect)
{
    evictOldestIfFull(state.suspects, state.settings.maxSuspects,
                      [](const auto &a, const auto &b) { return a.since < b.since; });
    state.suspects.insert(fingerprint, suspect);
}

bool isRunning(const QuarantineState &state, const RequestFingerprint &fingerprint)
{
    return std::any_of(state.running.begin(), state.running.end(),
                       [&](const auto &requests) { return requests.contains(fingerprint); });
}

void dropOldDeaths(QuarantineState &state, MonotonicTime now)
{
    state.deaths.removeIf([&](const TargetDeath &death) {
        return elapsed(death.time, now) > state.settings.massDeathWindow;
    });
}

/// True if a request was running on two of the dead targets.
bool hasCommonRequest(const QList<TargetDeath> &deaths)
{
    QSet<RequestFingerprint> seen;
    for (const TargetDeath &death : deaths) {
        for (const RequestFingerprint &fingerprint : death.requests) {
            if (seen.contains(fingerprint))
                return true;
        }
        seen.unite({death.requests.begin(), death.requests.end()});
    }
    return false;
}

/// The failure of a rack, a switch or a data centre kills many targets at once. If their requests
/// were blamed, an ordinary request that is on a second dying target would be quarantined, so all
/// suspicions of these deaths are cleared. A request that its caller sent to many targets at once
/// also kills several targets, but is then found on more than one of them. Returns true if no
/// request is to blame.
bool clearMassDeathSuspects(QuarantineState &state)
{
    if (state.deaths.size() < state.settings.massDeathCount || hasCommonRequest(state.deaths))
        return false;
    for (const TargetDeath &death : std::as_const(state.deaths)) {
        for (const RequestFingerprint &fingerprint : death.requests)
            state.suspects.remove(fingerprint);
    }
    return true;
}

bool hasSurvived(const QuarantineSettings &settings, const SuspectRequest &suspect,
                 const RunningRequest &running, MonotonicTime now)
{
    const Milliseconds requiredRunTime =
        std::max(settings.minSurvivalTime, settings.survivalFactor * suspect.runTimeBeforeDeath);
    return elapsed(running.since, now) >= requiredRunTime;
}

/// Two daemons that reserve one target at the same time receive each other's announcement before
/// either starts; the suspect with the smaller fingerprint has precedence.
bool isReservationValid(const QuarantineState &state, const RequestFingerprint &fingerprint,
                        const ProbationReservation &reservation,
                        const QList<ProbationCandidate> &candidates, MonotonicTime now)
{
    const bool isCandidate =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const auto &candidate) { return candidate.target == reservation.target; });
    const QHash<RequestFingerprint, RemoteProbation> remote =
        state.remoteProbations.value(reservation.target);
    const bool isFirst =
        std::none_of(remote.keyBegin(), remote.keyEnd(),
                     [&](const RequestFingerprint &other) { return other < fingerprint; });
    return isCandidate && isFirst
        && elapsed(reservation.since, now) <= state.settings.reservationTimeout;
}

void clearSurvivors(QuarantineState &state, MonotonicTime now)
{
    for (const auto &requests : std::as_const(state.running)) {
        for (auto request = requests.begin(); request != requests.end(); ++request) {
            const auto suspect = state.suspects.constFind(request.key());
            if (suspect != state.suspects.constEnd()
                && hasSurvived(state.settings, *suspect, *request, now))
                state.suspects.erase(suspect);
        }
    }
}

} // namespace

QuarantineVerdict verdictOf(const QuarantineState &state, const RequestFingerprint &fingerprint)
{
    if (state.quarantined.contains(fingerprint))
        return QuarantineVerdict::Quarantined;
    return state.suspects.contains(fingerprint) ? QuarantineVerdict::Suspect
                                                : QuarantineVerdict::Free;
}

qsizetype suspectCount(const QuarantineState &state, const TargetId &target)
{
    const QHash<RequestFingerprint, RunningRequest> requests = state.running.value(target);
    const qsizetype own = std::count_if(requests.keyBegin(), requests.keyEnd(),
                                        [&](const RequestFingerprint &fingerprint) {
                                            return state.suspects.contains(fingerprint);
                                        });
    const QHash<RequestFingerprint, RemoteProbation> remote = state.remoteProbations.value(target);
    return own + std::count_if(remote.begin(), remote.end(), [](const RemoteProbation &probation) {
               return probation.running;
           });
}

std::optional<TargetId> probationTarget(const QuarantineState &state,
                                        const RequestFingerprint &fingerprint,
                                        const QList<ProbationCandidate> &candidates)
{
    // Other daemons' suspects on a target may not be known yet. Among candidates of equal cost each
    // request uses its own order, so that two suspects rarely choose the same target.
    const auto order = [&](const ProbationCandidate &candidate) {
        return std::make_tuple(candidate.crashCost, preferenceHash(fingerprint, candidate.target),
                               candidate.target);
    };
    const double maxOnProbation =
        std::max(1.0, state.settings.probationShare * double(candidates.size()));
    int onProbation = 0;
    const ProbationCandidate *best = nullptr;
    for (const ProbationCandidate &candidate : candidates) {
        if (isOnProbation(state, candidate.target))
            ++onProbation;
        else if (!best || order(candidate) < order(*best))
            best = &candidate;
    }
    if (!best || onProbation + 1 > maxOnProbation)
        return std::nullopt;
    return best->target;
}

bool isOnProbation(const QuarantineState &state, const TargetId &target)
{
    return suspectCount(state, target) > 0 || state.remoteProbations.contains(target)
        || std::any_of(state.reservations.begin(), state.reservations.end(),
                       [&](const ProbationReservation &entry) { return entry.target == target; });
}

ProbationDecision decideProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                                  const QList<ProbationCandidate> &candidates, MonotonicTime now)
{
    ProbationDecision decision;
    const auto held = state.reservations.constFind(fingerprint);
    if (held != state.reservations.constEnd()) {
        const TargetId target = held->target;
        if (isReservationValid(state, fingerprint, *held, candidates, now)) {
            if (elapsed(held->since, now) < state.settings.reservationDelay)
                return decision;
            state.reservations.remove(fingerprint);
            decision.start = target;
            return decision;
        }
        state.reservations.remove(fingerprint);
        decision.abandoned = target;
    }
    decision.reserved = probationTarget(state, fingerprint, candidates);
    if (decision.reserved)
        state.reservations.insert(fingerprint, {*decision.reserved, now});
    return decision;
}

void recordAttemptStarted(QuarantineState &state, const RequestFingerprint &fingerprint,
                          const WorkspaceId &workspace, const TargetId &target, MonotonicTime now)
{
    // A request without a fingerprint cannot be recognized again.
    if (fingerprint.isEmpty())
        return;
    RunningRequest &request = state.running[target][fingerprint];
    if (request.attempts == 0)
        request.since = now;
    request.workspace = workspace;
    ++request.attempts;
}

void recordAttemptFinished(QuarantineState &state, const RequestFingerprint &fingerprint,
                           const TargetId &target, bool completed)
{
    if (completed)
        state.suspects.remove(fingerprint);
    const auto requests = state.running.find(target);
    if (requests == state.running.end() || !requests->contains(fingerprint))
        return;
    if (--(*requests)[fingerprint].attempts <= 0)
        requests->remove(fingerprint);
    if (requests->isEmpty())
        state.running.erase(requests);
}

QList<QuarantineOutcome> recordTargetDeath(QuarantineState &state, const TargetId &target,
                                           TargetDeathCause cause, MonotonicTime now)
{
    const qsizetype suspects = suspectCount(state, target);
    const QHash<RequestFingerprint, RunningRequest> requests = state.running.take(target);
    state.remoteProbations.remove(target);
    dropOldDeaths(state, now);
    if (cause == TargetDeathCause::Crash)
        state.deaths.append({now, requests.keys()});
    const bool blameless = cause == TargetDeathCause::Reclaimed || clearMassDeathSuspects(state);
    QList<QuarantineOutcome> outcomes;
    for (auto request = requests.begin(); request != requests.end(); ++request) {
        const RequestFingerprint &fingerprint = request.key();
        const bool wasSuspect = state.suspects.contains(fingerprint);
        // Two suspects can be on one target through two daemons or through equal requests sent at
        // the same time. Only a further crash can show which one is the cause.
        if (!blameless && wasSuspect && suspects == 1)
            recordQuarantined(
                state, {fingerprint, request->workspace, now + state.settings.quarantineDuration});
        else if (!blameless && suspects == 0)
            addSuspect(state, fingerprint, {request->workspace, now, elapsed(request->since, now)});
        outcomes.append({fingerprint, request->workspace, verdictOf(state, fingerprint)});
    }
    return outcomes;
}

void recordSuspect(QuarantineState &state, const RequestFingerprint &fingerprint,
                   const WorkspaceId &workspace, MonotonicTime now)
{
    if (!state.suspects.contains(fingerprint) && !state.quarantined.contains(fingerprint))
        addSuspect(state, fingerprint, {workspace, now, Milliseconds(0)});
}

void recordRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                           const TargetId &target, const RemoteProbation &probation)
{
    if (state.remoteProbations.size() >= state.settings.maxSuspects)
        return;
    state.remoteProbations[target].insert(fingerprint, probation);
}

void endRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                        const TargetId &target)
{
    const auto found = state.remoteProbations.find(target);
    if (found == state.remoteProbations.end())
        return;
    found->remove(fingerprint);
    if (found->isEmpty())
        state.remoteProbations.erase(found);
}

void recordQuarantined(QuarantineState &state, const QuarantineEntry &entry)
{
    state.suspects.remove(entry.fingerprint);
    const auto held = state.quarantined.constFind(entry.fingerprint);
    if (held != state.quarantined.constEnd() && entry.until <= held->until)
        return;
    evictOldestIfFull(state.quarantined, state.settings.maxQuarantined,
                      [](const auto &a, const auto &b) { return a.until < b.until; });
    state.quarantined.insert(entry.fingerprint, entry);
}

bool releaseRequest(QuarantineState &state, const RequestFingerprint &fingerprint)
{
    const bool wasSuspect = state.suspects.remove(fingerprint);
    return state.quarantined.remove(fingerprint) || wasSuspect;
}

QList<QuarantineEntry> expireQuarantine(QuarantineState &state, MonotonicTime now)
{
    clearSurvivors(state, now);
    state.reservations.removeIf([&](const auto &entry) {
        return elapsed(entry.value().since, now) > state.settings.reservationTimeout;
    });
    for (auto probation = state.remoteProbations.begin();
         probation != state.remoteProbations.end();) {
        probation->removeIf([&](const auto &entry) { return entry.value().until < now; });
        probation =
            probation->isEmpty() ? state.remoteProbations.erase(probation) : std::next(probation);
    }
    state.suspects.removeIf([&](const auto &entry) {
        return elapsed(entry.value().since, now) > state.settings.suspicionPeriod
            && !isRunning(state, entry.key());
    });
    QList<QuarantineEntry> ended;
    for (auto entry = state.quarantined.begin(); entry != state.quarantined.end();) {
        if (now < entry->until) {
            ++entry;
            continue;
        }
        ended.append(*entry);
        entry = state.quarantined.erase(entry);
    }
    return ended;
}

} // namespace cranberry
