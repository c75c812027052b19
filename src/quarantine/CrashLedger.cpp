#include "quarantine/CrashLedger.h"

#include "membership/RendezvousHash.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Daemons that vote on a trial, of which the majority must agree.
constexpr int VoterCount = 3;
constexpr Milliseconds AskRepeatInterval{60};
/// A trial is given up after this time. If nobody refused it and little speaks against the request,
/// it is made all the same: ordinary requests that were on a target that ended must not depend on
/// other daemons.
constexpr Milliseconds AskTimeout{200};
constexpr Milliseconds CompareInterval{1000};
constexpr int CompareCount = 2;
constexpr int PullCount = 5;
constexpr qsizetype MaxRecords = 4096;
constexpr qsizetype MaxCompletedRequests = 4096;
constexpr Milliseconds CompletedLifetime{60'000};
constexpr qsizetype MaxDroppedRuns = 8192;

bool isWithdrawn(const CrashRecord &record)
{
    return std::all_of(
        record.suspicions.begin(), record.suspicions.end(),
        [](const CrashSuspicion &run) { return run.state == SuspicionState::Withdrawn; });
}

} // namespace

CrashLedger::CrashLedger(VmId self, Callbacks callbacks)
    : m_self(std::move(self))
    , m_callbacks(std::move(callbacks))
{
}

RunVerdict CrashLedger::verdict(const RequestFingerprint &key, SuspicionId except,
                                MonotonicTime now, TrialKind kind) const
{
    const auto record = m_records.constFind(key);
    if (record == m_records.cend())
        return RunVerdict::Free;
    if (!record->isPart())
        return runVerdict(*record, m_self, except, now);
    const PartStanding part = standing(key, except, now);
    return part.isSuspected() ? trialVerdict(part, kind, now) : RunVerdict::Free;
}

PartStanding CrashLedger::standing(const RequestFingerprint &part, SuspicionId except,
                                   MonotonicTime now) const
{
    return partStanding(m_records, part, m_self, except, now);
}

bool CrashLedger::mayRunWithoutVotes(const RequestFingerprint &key, MonotonicTime now) const
{
    const CrashRecord record = m_records.value(key);
    if (!record.isPart())
        return suspicionCount(record, m_self, now) <= 1;
    const PartStanding part = standing(key, SuspicionId(), now);
    return part.singleTrials + part.jointTrials == 0;
}

CrashSuspicion *CrashLedger::find(const RequestFingerprint &request, SuspicionId id)
{
    const auto record = m_records.find(request);
    if (record == m_records.end())
        return nullptr;
    for (CrashSuspicion &run : record->suspicions) {
        if (run.id == id)
            return &run;
    }
    return nullptr;
}

bool CrashLedger::isSuspected(const RequestFingerprint &request) const
{
    const auto record = m_records.constFind(request);
    return record != m_records.cend()
        && std::any_of(record->suspicions.begin(), record->suspicions.end(),
                       [](const auto &run) { return run.state == SuspicionState::Suspected; });
}

SuspicionId CrashLedger::addRun(const CrashKey &key, const TargetId &target, MonotonicTime now)
{
    return addRun(key, target, TrialKind::None, now);
}

SuspicionId CrashLedger::addRun(const CrashKey &key, const TargetId &target, TrialKind kind,
                                MonotonicTime now)
{
    CrashSuspicion run;
    run.id = SuspicionId(qint64(m_callbacks.random() >> 1) | 1);
    run.daemon = m_self;
    run.target = target;
    run.changedAt = now;
    run.trial = kind;
    CrashRecord added;
    added.key = key;
    added.suspicions.append(run);
    makeRoom();
    CrashRecord &record = m_records[key.fingerprint];
    record.key = key;
    mergeKnown(record, added, now);
    addCompletions(record, now);
    m_unpublished.insert(run.id.value());
    m_digest.reset();
    return run.id;
}

bool CrashLedger::makeRoom()
{
    if (m_records.size() < MaxRecords)
        return true;
    for (auto record = m_records.begin(); record != m_records.end(); ++record) {
        if (isWithdrawn(*record)) {
            m_records.erase(record);
            m_digest.reset();
            return true;
        }
    }
    return false;
}

void CrashLedger::publish(const RequestFingerprint &request)
{
    const auto record = m_records.constFind(request);
    if (record == m_records.cend())
        return;
    for (const CrashSuspicion &run : record->suspicions) {
        m_unpublished.remove(run.id.value());
        m_votersOfTrial.remove(run.id.value());
    }
    CrashMessage message;
    message.records.append(*record);
    m_callbacks.broadcast(message);
}

void CrashLedger::removeRun(const RequestFingerprint &request, SuspicionId id)
{
    m_unpublished.remove(id.value());
    m_digest.reset();
    const auto record = m_records.find(request);
    if (record == m_records.end())
        return;
    record->suspicions.removeIf([id](const CrashSuspicion &run) { return run.id == id; });
    if (record->suspicions.isEmpty())
        m_records.erase(record);
}

void CrashLedger::setTarget(const RequestFingerprint &request, SuspicionId id,
                            const TargetId &target)
{
    if (CrashSuspicion *run = find(request, id))
        run->target = target;
}

void CrashLedger::setState(const RequestFingerprint &request, SuspicionId id, SuspicionState state,
                           MonotonicTime now)
{
    CrashSuspicion *run = find(request, id);
    if (!run || run->state >= state)
        return;
    run->state = state;
    run->changedAt = now;
    m_digest.reset();
    m_callbacks.changed(m_records.value(request), CrashSuspicion(*run));
}

void CrashLedger::suspect(const RequestFingerprint &request, SuspicionId id, MonotonicTime now)
{
    setState(request, id, SuspicionState::Suspected, now);
    publish(request);
}

void CrashLedger::withdraw(const RequestFingerprint &request, SuspicionId id, MonotonicTime now)
{
    if (!isPublished(id)) {
        removeRun(request, id);
        return;
    }
    setState(request, id, SuspicionState::Withdrawn, now);
    const auto voters = m_votersOfTrial.constFind(id.value());
    if (voters == m_votersOfTrial.cend()) {
        publish(request);
        return;
    }
    CrashMessage message;
    message.records.append(m_records.value(request));
    for (const VmId &voter : m_votersOfTrial.take(id.value())) {
        if (voter != m_self)
            m_callbacks.send(voter, message);
    }
}

void CrashLedger::clearPart(const RequestFingerprint &part, MonotonicTime now)
{
    const auto record = m_records.constFind(part);
    if (record == m_records.cend())
        return;
    QList<SuspicionId> suspected;
    for (const CrashSuspicion &run : record->suspicions) {
        if (isSuspicion(run, m_self, now))
            suspected.append(run.id);
    }
    for (const SuspicionId id : std::as_const(suspected))
        setState(part, id, SuspicionState::Withdrawn, now);
    if (!suspected.isEmpty())
        publish(part);
}

bool CrashLedger::addCompletions(CrashRecord &record, MonotonicTime now) const
{
    const auto completed = m_completed.constFind(record.key.fingerprint);
    if (completed == m_completed.cend() || now - completed->lastAt > CompletedLifetime)
        return false;
    CrashRecord own;
    own.completions.insert(m_self, completed->count);
    return merge(record, own);
}

void CrashLedger::recordCompleted(const RequestFingerprint &request, MonotonicTime now)
{
    if (m_completed.size() >= MaxCompletedRequests && !m_completed.contains(request)) {
        // Requests that complete once are many and need no entry for long.
        m_completed.removeIf([now](const auto &entry) {
            return now - entry.value().lastAt > CompletedLifetime / 2;
        });
        if (m_completed.size() >= MaxCompletedRequests)
            m_completed.clear();
    }
    CompletedRuns &completed = m_completed[request];
    if (now - completed.lastAt > CompletedLifetime)
        completed.count = 0;
    completed.count = std::min(completed.count + 1, MaxCompletionsPerDaemon);
    completed.lastAt = now;
    const auto record = m_records.find(request);
    if (record == m_records.end())
        return;
    const RunVerdict before = verdict(request, SuspicionId(), now);
    if (addCompletions(*record, now) && before != RunVerdict::Free)
        publish(request);
}

bool CrashLedger::isAsking(const RequestFingerprint &request) const
{
    return std::any_of(m_asking.begin(), m_asking.end(),
                       [&](const Asking &asking) { return asking.request == request; });
}

void CrashLedger::askTrial(const CrashKey &key, TrialKind kind, MonotonicTime now)
{
    const SuspicionId id = addRun(key, TargetId(), kind, now);
    Asking asking;
    asking.request = key.fingerprint;
    asking.id = id;
    asking.kind = kind;
    asking.since = now;
    asking.voters = rendezvousOrder(key.fingerprint.text(),
                                    m_callbacks.members() + QList<VmId>{m_self}, VoterCount);
    // This daemon has no other run of the request, or the verdict would not be Trial.
    if (asking.voters.contains(m_self))
        asking.granted.insert(m_self);
    m_votersOfTrial.insert(id.value(), asking.voters);
    m_asking.push_back(asking);
    sendAsk(m_asking.back(), now);
    countVotes(id, now);
}

void CrashLedger::sendAsk(Asking &asking, MonotonicTime now)
{
    asking.sentAt = now;
    m_unpublished.remove(asking.id.value());
    CrashMessage message;
    message.kind = CrashMessageKind::Ask;
    message.id = asking.id;
    message.records.append(m_records.value(asking.request));
    for (const VmId &voter : std::as_const(asking.voters)) {
        if (!asking.granted.contains(voter) && !asking.refused.contains(voter))
            m_callbacks.send(voter, message);
    }
}

void CrashLedger::countVotes(SuspicionId id, MonotonicTime now)
{
    const auto asking = std::find_if(m_asking.begin(), m_asking.end(),
                                     [id](const Asking &other) { return other.id == id; });
    if (asking == m_asking.end())
        return;
    const qsizetype majority = asking->voters.size() / 2 + 1;
    if (asking->granted.size() >= majority)
        endAsking(id, true, now);
    else if (asking->refused.size() > asking->voters.size() - majority)
        endAsking(id, false, now);
}

void CrashLedger::endAsking(SuspicionId id, bool isGranted, MonotonicTime now)
{
    const auto found = std::find_if(m_asking.begin(), m_asking.end(),
                                    [id](const Asking &asking) { return asking.id == id; });
    const Asking asking = *found;
    m_asking.erase(found);
    // What was learned while asking may forbid the run.
    const RunVerdict verdict = this->verdict(asking.request, id, now, asking.kind);
    const bool isAllowed =
        isGranted && (verdict == RunVerdict::Trial || verdict == RunVerdict::Free);
    if (!isAllowed)
        withdraw(asking.request, id, now);
    m_callbacks.trialDecided(asking.request, id, isAllowed);
}

void CrashLedger::vote(const VmId &from, const CrashMessage &message, MonotonicTime now)
{
    const CrashRecord &asked = message.records.first();
    TrialKind kind = TrialKind::None;
    for (const CrashSuspicion &run : asked.suspicions) {
        if (run.id == message.id)
            kind = run.trial;
    }
    CrashRecord others = asked;
    others.suspicions.removeIf([&](const CrashSuspicion &run) { return run.id == message.id; });
    if (!others.suspicions.isEmpty())
        mergeRecord(from, others, now);
    const RunVerdict verdict = this->verdict(asked.key.fingerprint, message.id, now, kind);
    CrashMessage answer;
    answer.id = message.id;
    // A daemon that does not know the records yet cannot vote for a run.
    const bool isGranted =
        m_isSynchronised && (verdict == RunVerdict::Trial || verdict == RunVerdict::Free);
    answer.kind = isGranted ? CrashMessageKind::Grant : CrashMessageKind::Refuse;
    if (isGranted)
        mergeRecord(from, asked, now);
    CrashRecord record = m_records.value(asked.key.fingerprint);
    record.key = asked.key;
    answer.records.append(record);
    if (m_isSynchronised)
        m_callbacks.send(from, answer);
}

void CrashLedger::rememberDropped(SuspicionId id, MonotonicTime now)
{
    if (m_dropped.size() >= MaxDroppedRuns)
        m_dropped.removeIf(
            [now](const auto &entry) { return now - entry.value() > WithdrawnLifetime / 2; });
    if (m_dropped.size() >= MaxDroppedRuns)
        m_dropped.clear();
    m_dropped.insert(id.value(), now);
}

bool CrashLedger::mergeKnown(CrashRecord &known, const CrashRecord &added, MonotonicTime now)
{
    const QList<CrashSuspicion> before = known.suspicions;
    const bool isChanged = merge(known, added);
    for (const CrashSuspicion &run : before) {
        const bool isKept = std::any_of(known.suspicions.begin(), known.suspicions.end(),
                                        [&](const auto &other) { return other.id == run.id; });
        if (!isKept && run.state == SuspicionState::Withdrawn)
            rememberDropped(run.id, now);
    }
    return isChanged;
}

CrashRecord CrashLedger::withoutDropped(const CrashRecord &record, MonotonicTime now)
{
    CrashRecord kept = record;
    const QList<CrashSuspicion> known = m_records.value(record.key.fingerprint).suspicions;
    kept.suspicions.removeIf([&](const CrashSuspicion &run) {
        if (m_dropped.contains(run.id.value()))
            return true;
        const bool isKnown = std::any_of(known.begin(), known.end(),
                                         [&](const auto &other) { return other.id == run.id; });
        if (isKnown || run.state != SuspicionState::Withdrawn)
            return false;
        rememberDropped(run.id, now);
        return true;
    });
    return kept;
}

void CrashLedger::mergeRecord(const VmId &from, const CrashRecord &received, MonotonicTime now)
{
    const CrashRecord record = withoutDropped(received, now);
    const bool isEmpty = record.suspicions.isEmpty();
    if (isEmpty || (!m_records.contains(record.key.fingerprint) && !makeRoom()))
        return;
    CrashRecord &known = m_records[record.key.fingerprint];
    known.key.fingerprint = record.key.fingerprint;
    const QList<CrashSuspicion> before = known.suspicions;
    if (!mergeKnown(known, record, now))
        return;
    m_digest.reset();
    for (const CrashSuspicion &run : std::as_const(known.suspicions)) {
        const bool isKnown =
            std::any_of(before.begin(), before.end(), [&](const CrashSuspicion &other) {
                return other.id == run.id && other.state == run.state;
            });
        if (!isKnown)
            m_callbacks.changed(known, run);
    }
    const bool isSuspected =
        std::any_of(known.suspicions.begin(), known.suspicions.end(),
                    [](const auto &run) { return run.state == SuspicionState::Suspected; });
    // The sender tells the others; one message of each daemon that has completed the request to all
    // would be too many.
    if (isSuspected && addCompletions(known, now)) {
        CrashMessage message;
        message.records.append(known);
        m_callbacks.send(from, message);
    }
}

void CrashLedger::handle(const VmId &from, const CrashMessage &message, MonotonicTime now)
{
    switch (message.kind) {
    case CrashMessageKind::PullAnswer:
        m_isSynchronised = true;
        [[fallthrough]];
    case CrashMessageKind::Records:
        for (const CrashRecord &record : message.records) {
            const RequestFingerprint &fingerprint = record.key.fingerprint;
            const RunVerdict before = verdict(fingerprint, SuspicionId(), now);
            mergeRecord(from, record, now);
            // Daemons that have completed the request tell only the one that suspected it.
            const bool isOwn =
                std::any_of(record.suspicions.begin(), record.suspicions.end(),
                            [this](const CrashSuspicion &run) { return run.daemon == m_self; });
            if (isOwn && !record.isPart() && before != RunVerdict::Free
                && verdict(fingerprint, SuspicionId(), now) == RunVerdict::Free)
                publish(fingerprint);
        }
        break;
    case CrashMessageKind::Ask:
        vote(from, message, now);
        break;
    case CrashMessageKind::Grant:
    case CrashMessageKind::Refuse:
        mergeRecord(from, message.records.first(), now);
        for (Asking &asking : m_asking) {
            if (asking.id != message.id || !asking.voters.contains(from))
                continue;
            (message.kind == CrashMessageKind::Grant ? asking.granted : asking.refused)
                .insert(from);
        }
        countVotes(message.id, now);
        break;
    case CrashMessageKind::Digest:
        if (message.digest != digest()) {
            CrashMessage pull;
            pull.kind = CrashMessageKind::Pull;
            m_callbacks.send(from, pull);
        }
        break;
    case CrashMessageKind::Pull:
        sendAll(from);
        break;
    }
}

void CrashLedger::sendAll(const VmId &to) const
{
    CrashMessage message;
    message.kind = CrashMessageKind::PullAnswer;
    // Those that matter first: the receiver goes on after the first message.
    QList<const CrashRecord *> records;
    for (const CrashRecord &record : m_records)
        records.append(&record);
    std::stable_partition(records.begin(), records.end(),
                          [](const CrashRecord *record) { return !isWithdrawn(*record); });
    for (const CrashRecord *record : std::as_const(records)) {
        message.records.append(*record);
        if (message.records.size() < MaxRecordsPerMessage)
            continue;
        m_callbacks.send(to, message);
        message.records.clear();
    }
    m_callbacks.send(to, message);
}

void CrashLedger::tick(MonotonicTime now)
{
    QList<SuspicionId> timedOut;
    for (Asking &asking : m_asking) {
        if (now - asking.since >= AskTimeout)
            timedOut.append(asking.id);
        else if (now - asking.sentAt >= AskRepeatInterval)
            sendAsk(asking, now);
    }
    for (const SuspicionId id : std::as_const(timedOut)) {
        const auto asking = std::find_if(m_asking.begin(), m_asking.end(),
                                         [id](const Asking &other) { return other.id == id; });
        const bool mayRun = mayRunWithoutVotes(asking->request, now);
        endAsking(id, asking->refused.isEmpty() && mayRun, now);
    }
    if (now - m_comparedAt >= CompareInterval) {
        m_comparedAt = now;
        dropExpired(now);
        compareDigests();
    }
}

void CrashLedger::compareDigests()
{
    if (m_records.isEmpty())
        return;
    CrashMessage message;
    message.kind = CrashMessageKind::Digest;
    message.digest = digest();
    QList<VmId> members = m_callbacks.members();
    for (int sent = 0; sent < CompareCount && !members.isEmpty(); ++sent)
        m_callbacks.send(members.takeAt(qsizetype(m_callbacks.random() % quint64(members.size()))),
                         message);
}

void CrashLedger::pull()
{
    CrashMessage message;
    message.kind = CrashMessageKind::Pull;
    QList<VmId> members = m_callbacks.members();
    for (int sent = 0; sent < PullCount && !members.isEmpty(); ++sent)
        m_callbacks.send(members.takeAt(qsizetype(m_callbacks.random() % quint64(members.size()))),
                         message);
}

void CrashLedger::dropExpired(MonotonicTime now)
{
    if (m_records.removeIf([now](const auto &entry) { return isExpired(entry.value(), now); }) > 0)
        m_digest.reset();
    m_dropped.removeIf(
        [now](const auto &entry) { return now - entry.value() > WithdrawnLifetime; });
}

quint64 CrashLedger::digest()
{
    if (!m_digest) {
        m_digest = 0;
        for (const CrashRecord &record : std::as_const(m_records))
            *m_digest ^= digestOf(record);
    }
    return *m_digest;
}

} // namespace cranberry
