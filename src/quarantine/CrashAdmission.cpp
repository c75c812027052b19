#include "quarantine/CrashAdmission.h"

#include "quarantine/CrashLedger.h"

#include <algorithm>
#include <vector>

namespace cranberry {

namespace {

SuspicionId grantedFor(const RequestFingerprint &fingerprint, const QList<CrashTrial> &granted)
{
    for (const CrashTrial &trial : granted) {
        if (trial.fingerprint == fingerprint)
            return trial.id;
    }
    return SuspicionId();
}

/// A request that is rejected for good should not come again soon.
constexpr Milliseconds HarmfulRetryDelay{60'000};

} // namespace

CrashAdmission::CrashAdmission(CrashLedger &ledger)
    : m_ledger(ledger)
{
}

RunVerdict CrashAdmission::partsVerdict(const CrashSubject &subject,
                                        const QList<CrashTrial> &granted, MonotonicTime now) const
{
    QList<PartStanding> standings;
    for (const CrashKey &part : subject.parts)
        standings.append(
            m_ledger.standing(part.fingerprint, grantedFor(part.fingerprint, granted), now));
    return promptVerdict(standings, now);
}

RunVerdict CrashAdmission::verdict(const CrashSubject &subject, MonotonicTime now)
{
    if (!m_ledger.isSynchronised())
        return RunVerdict::Wait;
    const RunVerdict verdict = verdictOf(subject, {}, now);
    if (verdict == RunVerdict::Reject)
        countRejection(subject, now);
    return verdict;
}

RunVerdict CrashAdmission::verdictOf(const CrashSubject &subject, const QList<CrashTrial> &granted,
                                     MonotonicTime now) const
{
    const RequestFingerprint &request = subject.request.fingerprint;
    return std::max(partsVerdict(subject, granted, now),
                    m_ledger.verdict(request, grantedFor(request, granted), now));
}

void CrashAdmission::countRejection(const CrashSubject &subject, MonotonicTime now)
{
    const bool isForPart = partsVerdict(subject, {}, now) == RunVerdict::Reject;
    ++m_counters.rejected;
    m_counters.rejectedForPart += isForPart ? 1 : 0;
}

std::optional<Milliseconds> CrashAdmission::retryDelay(const CrashSubject &subject,
                                                       MonotonicTime now) const
{
    if (verdictOf(subject, {}, now) != RunVerdict::Reject)
        return std::nullopt;
    const bool isTrialDue = verdictOf(subject, {}, now + SecondTrialDelay) != RunVerdict::Reject;
    return isTrialDue ? SecondTrialDelay : HarmfulRetryDelay;
}

int CrashAdmission::hold(const CrashSubject &subject, Decided decided)
{
    ++m_counters.held;
    m_holds.emplace(++m_lastHold, Hold{subject, std::move(decided), {}});
    return m_lastHold;
}

void CrashAdmission::release(int number, MonotonicTime now)
{
    const auto found = m_holds.find(number);
    if (found == m_holds.end())
        return;
    const QList<CrashTrial> trials = found->second.trials;
    m_holds.erase(found);
    for (const CrashTrial &trial : trials)
        m_ledger.withdraw(trial.fingerprint, trial.id, now);
}

QList<CrashKey> CrashAdmission::trialsOf(const CrashSubject &subject,
                                         const QList<CrashTrial> &granted, MonotonicTime now) const
{
    QList<CrashKey> keys;
    if (m_ledger.verdict(subject.request.fingerprint,
                         grantedFor(subject.request.fingerprint, granted), now)
        == RunVerdict::Trial)
        keys.append(subject.request);
    for (const CrashKey &part : subject.parts) {
        if (m_ledger.standing(part.fingerprint, grantedFor(part.fingerprint, granted), now)
                .isSuspected())
            keys.append(part);
    }
    std::sort(keys.begin(), keys.end(), [](const CrashKey &one, const CrashKey &other) {
        return one.fingerprint < other.fingerprint;
    });
    return keys;
}

void CrashAdmission::decide(MonotonicTime now)
{
    if (!m_ledger.isSynchronised())
        return;
    std::vector<int> numbers;
    for (const auto &[number, hold] : m_holds)
        numbers.push_back(number);
    for (const int number : numbers)
        decide(number, now);
}

void CrashAdmission::decide(int number, MonotonicTime now)
{
    const auto found = m_holds.find(number);
    if (found == m_holds.end())
        return;
    const CrashSubject subject = found->second.subject;
    const QList<CrashTrial> granted = found->second.trials;
    switch (verdictOf(subject, granted, now)) {
    case RunVerdict::Free:
        end(number, true, now);
        return;
    case RunVerdict::Reject:
        countRejection(subject, now);
        end(number, false, now);
        return;
    case RunVerdict::Wait:
        return;
    case RunVerdict::Trial:
        break;
    }
    const QList<CrashKey> keys = trialsOf(subject, granted, now);
    const auto next = std::find_if(keys.begin(), keys.end(), [&](const CrashKey &key) {
        return grantedFor(key.fingerprint, granted) == SuspicionId();
    });
    if (next == keys.end()) {
        end(number, true, now);
        return;
    }
    const auto parts = std::count_if(keys.begin(), keys.end(),
                                     [](const CrashKey &key) { return !key.part.isEmpty(); });
    const TrialKind kind = next->part.isEmpty() ? TrialKind::None
        : parts == 1                            ? TrialKind::Single
                                                : TrialKind::Joint;
    if (m_ledger.isAsking(next->fingerprint))
        return;
    m_askedFor.insert(next->fingerprint, number);
    m_ledger.askTrial(*next, kind, now);
}

void CrashAdmission::trialDecided(const CrashTrial &trial, bool isGranted, MonotonicTime now)
{
    const auto found = m_holds.find(m_askedFor.take(trial.fingerprint));
    if (!isGranted)
        return;
    if (found == m_holds.end()) {
        m_ledger.withdraw(trial.fingerprint, trial.id, now);
        return;
    }
    found->second.trials.append(trial);
    decide(found->first, now);
}

void CrashAdmission::end(int number, bool isAllowed, MonotonicTime now)
{
    const auto found = m_holds.find(number);
    const Hold hold = found->second;
    m_holds.erase(found);
    if (!isAllowed) {
        for (const CrashTrial &trial : hold.trials)
            m_ledger.withdraw(trial.fingerprint, trial.id, now);
    }
    hold.decided(isAllowed, isAllowed ? hold.trials : QList<CrashTrial>());
}

} // namespace cranberry
