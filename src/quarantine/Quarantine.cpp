#include "quarantine/Quarantine.h"

#include "base/EventLog.h"
#include "quarantine/QuarantineNews.h"
#include "quarantine/QuarantineRules.h"

namespace cranberry {

namespace {

void logRequest(EventId event, const RequestFingerprint &fingerprint, const WorkspaceId &workspace)
{
    logEvent(LogLevel::Info, event,
             {{"fingerprint", fingerprint.text()}, {"workspace", workspace.text()}});
}

void logOutcomes(const QList<QuarantineOutcome> &outcomes)
{
    for (const QuarantineOutcome &outcome : outcomes) {
        if (outcome.verdict == QuarantineVerdict::Suspect)
            logRequest(EventId::QuarantineSuspect, outcome.fingerprint, outcome.workspace);
        else if (outcome.verdict == QuarantineVerdict::Quarantined)
            logRequest(EventId::QuarantineAdded, outcome.fingerprint, outcome.workspace);
    }
}

QCborMap makeReleaseNews(const RequestFingerprint &fingerprint)
{
    return quarantineNewsToCbor(
        {QuarantineNewsKind::Released, {fingerprint}, WorkspaceId(), Milliseconds(0), {}});
}

QCborMap makeProbationNews(QuarantineNewsKind kind, const RequestFingerprint &fingerprint,
                           const TargetId &target, Milliseconds remaining)
{
    return quarantineNewsToCbor({kind, {fingerprint}, WorkspaceId(), remaining, target});
}

QList<QCborMap> makeNews(const QList<QuarantineOutcome> &outcomes, Milliseconds quarantine)
{
    QList<QCborMap> news;
    QMap<WorkspaceId, QList<RequestFingerprint>> suspects;
    for (const QuarantineOutcome &outcome : outcomes) {
        if (outcome.verdict == QuarantineVerdict::Quarantined)
            news.append(quarantineNewsToCbor({QuarantineNewsKind::Quarantined,
                                              {outcome.fingerprint},
                                              outcome.workspace,
                                              quarantine,
                                              {}}));
        else if (outcome.verdict == QuarantineVerdict::Suspect)
            suspects[outcome.workspace].append(outcome.fingerprint);
    }
    for (auto entry = suspects.cbegin(); entry != suspects.cend(); ++entry) {
        for (qsizetype first = 0; first < entry->size(); first += MaxFingerprintsPerNews)
            news.append(quarantineNewsToCbor({QuarantineNewsKind::Suspects,
                                              entry->mid(first, MaxFingerprintsPerNews),
                                              entry.key(),
                                              Milliseconds(0),
                                              {}}));
    }
    return news;
}

} // namespace

Quarantine::Quarantine(QuarantineSettings settings)
{
    m_state.settings = settings;
}

void Quarantine::onNews(NewsCallback callback)
{
    m_newsCallback = std::move(callback);
}

QuarantineVerdict Quarantine::verdict(const RequestFingerprint &fingerprint, MonotonicTime now)
{
    const QMutexLocker lock(&m_mutex);
    m_lastVerdictTime = now;
    // Fast path: most requests are in none of the tables, and the tables are usually empty.
    if (verdictOf(m_state, fingerprint) == QuarantineVerdict::Free
        && m_state.remoteProbations.isEmpty())
        return QuarantineVerdict::Free;
    expire(now);
    return verdictOf(m_state, fingerprint);
}

std::optional<TargetId> Quarantine::probationTarget(const RequestFingerprint &fingerprint,
                                                    const QList<ProbationCandidate> &candidates)
{
    ProbationDecision decision;
    Milliseconds reservationTimeout{0};
    {
        const QMutexLocker lock(&m_mutex);
        if (!m_newsCallback)
            return cranberry::probationTarget(m_state, fingerprint, candidates);
        decision = decideProbation(m_state, fingerprint, candidates, m_lastVerdictTime);
        reservationTimeout = m_state.settings.reservationTimeout;
    }
    if (decision.abandoned)
        publish({makeProbationNews(QuarantineNewsKind::ProbationEnded, fingerprint,
                                   *decision.abandoned, Milliseconds(0))});
    if (decision.reserved)
        publish({makeProbationNews(QuarantineNewsKind::ProbationReserved, fingerprint,
                                   *decision.reserved, reservationTimeout)});
    return decision.start;
}

bool Quarantine::isOnProbation(const TargetId &target) const
{
    const QMutexLocker lock(&m_mutex);
    return cranberry::isOnProbation(m_state, target);
}

void Quarantine::attemptStarted(const RequestFingerprint &fingerprint, const WorkspaceId &workspace,
                                const TargetId &target, MonotonicTime now)
{
    Milliseconds lease{0};
    {
        const QMutexLocker lock(&m_mutex);
        recordAttemptStarted(m_state, fingerprint, workspace, target, now);
        if (verdictOf(m_state, fingerprint) != QuarantineVerdict::Suspect)
            return;
        lease = m_state.settings.probationLease;
    }
    publish({makeProbationNews(QuarantineNewsKind::ProbationStarted, fingerprint, target, lease)});
}

void Quarantine::attemptFinished(const RequestFingerprint &fingerprint, const TargetId &target,
                                 bool completed)
{
    {
        const QMutexLocker lock(&m_mutex);
        const bool onProbation = verdictOf(m_state, fingerprint) == QuarantineVerdict::Suspect;
        recordAttemptFinished(m_state, fingerprint, target, completed);
        if (!onProbation)
            return;
    }
    publish({makeProbationNews(QuarantineNewsKind::ProbationEnded, fingerprint, target,
                               Milliseconds(0))});
}

QList<QuarantineOutcome> Quarantine::targetDied(const TargetId &target, TargetDeathCause cause,
                                                MonotonicTime now)
{
    QList<QuarantineOutcome> outcomes;
    Milliseconds quarantine{0};
    {
        const QMutexLocker lock(&m_mutex);
        expire(now);
        quarantine = m_state.settings.quarantineDuration;
        outcomes = recordTargetDeath(m_state, target, cause, now);
    }
    logOutcomes(outcomes);
    publish(makeNews(outcomes, quarantine));
    return outcomes;
}

bool Quarantine::release(const RequestFingerprint &fingerprint)
{
    {
        const QMutexLocker lock(&m_mutex);
        if (!releaseRequest(m_state, fingerprint))
            return false;
    }
    logRequest(EventId::QuarantineReleased, fingerprint, WorkspaceId());
    publish({makeReleaseNews(fingerprint)});
    return true;
}

void Quarantine::handleNews(const QCborMap &body, MonotonicTime now)
{
    const std::optional<QuarantineNews> news = quarantineNewsFromCbor(body);
    if (!news)
        return;
    const QMutexLocker lock(&m_mutex);
    for (const RequestFingerprint &fingerprint : news->fingerprints) {
        if (news->kind == QuarantineNewsKind::Quarantined)
            recordQuarantined(m_state, {fingerprint, news->workspace, now + news->remaining});
        else if (news->kind == QuarantineNewsKind::Released)
            releaseRequest(m_state, fingerprint);
        else if (news->kind == QuarantineNewsKind::ProbationStarted)
            recordRemoteProbation(m_state, fingerprint, news->target,
                                  {now + news->remaining, true});
        else if (news->kind == QuarantineNewsKind::ProbationReserved)
            recordRemoteProbation(m_state, fingerprint, news->target,
                                  {now + news->remaining, false});
        else if (news->kind == QuarantineNewsKind::ProbationEnded)
            endRemoteProbation(m_state, fingerprint, news->target);
        else
            recordSuspect(m_state, fingerprint, news->workspace, now);
    }
}

QList<QuarantineEntry> Quarantine::entries(MonotonicTime now)
{
    const QMutexLocker lock(&m_mutex);
    expire(now);
    return m_state.quarantined.values();
}

void Quarantine::expire(MonotonicTime now)
{
    for (const QuarantineEntry &entry : expireQuarantine(m_state, now))
        logRequest(EventId::QuarantineReleased, entry.fingerprint, entry.workspace);
}

void Quarantine::publish(const QList<QCborMap> &news) const
{
    if (!m_newsCallback)
        return;
    for (const QCborMap &item : news)
        m_newsCallback(item);
}

} // namespace cranberry
