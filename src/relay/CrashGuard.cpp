#include "relay/CrashGuard.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/CrashHold.h"
#include "relay/Peer.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayAttemptEnd.h"

#include <QCborArray>
#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds TickInterval{50};
/// A daemon waits for the records of others for at most this time, and for this time if the store
/// has not listed the others yet.
constexpr Milliseconds SynchroniseTimeout{500};
constexpr Milliseconds ListTimeout{2000};
/// A daemon that has not run for this time may have requests to read before it reads the messages
/// that were sent meanwhile.
constexpr Milliseconds StallTime{500};
constexpr Milliseconds PeerCheckInterval{500};
/// Daemons send a message at least every 1.5 s.
constexpr Milliseconds HeardTimeout{4000};

} // namespace

const char *relayAttemptEndName(RelayAttemptEnd end)
{
    switch (end) {
    case RelayAttemptEnd::NotRun:
        return "not_run";
    case RelayAttemptEnd::Answered:
        return "answered";
    case RelayAttemptEnd::Completed:
        return "completed";
    case RelayAttemptEnd::Stopped:
        return "stopped";
    case RelayAttemptEnd::Broken:
        return "broken";
    case RelayAttemptEnd::Unexplained:
        return "unexplained";
    }
    return "unknown";
}

CrashGuard::CrashGuard(TimerService &timers, TargetClient &client, PeerDirectory &peers,
                       PeerDatagrams &datagrams, const TargetDirectory &targets,
                       AttemptMonitor::ProbeRequest probeRequest, AttemptMonitor::IsOther isOther)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_ledger(peers.self().vm, callbacks())
    , m_admission(m_ledger)
    , m_attempts(timers, client, targets, m_ledger, std::move(probeRequest), std::move(isOther))
    , m_tickTimer(timers.every(TickInterval, [this] { tick(); }))
{
    datagrams.onMessage(DatagramKind::Crash,
                        [this](const Peer &from, const QCborArray &body) { receive(from, body); });
    m_tickedAt = timers.now();
    desynchronise("start");
}

CrashGuard::~CrashGuard() = default;

CrashLedger::Callbacks CrashGuard::callbacks()
{
    CrashLedger::Callbacks callbacks;
    callbacks.send = [this](const VmId &daemon, const CrashMessage &message) {
        if (const Peer *peer = m_peers.find(daemon))
            send({*peer}, message);
    };
    callbacks.broadcast = [this](const CrashMessage &message) {
        for (const CrashRecord &record : message.records)
            m_unsent.insert(record.key.fingerprint, record);
        if (!m_flushTimer)
            m_flushTimer = m_timers.after(Milliseconds(0), [this] { flush(); });
        scheduleDecisions();
    };
    callbacks.members = [this] { return members(); };
    callbacks.random = [] { return QRandomGenerator::global()->generate64(); };
    callbacks.trialDecided = [this](const RequestFingerprint &request, SuspicionId id,
                                    bool isGranted) { trialDecided(request, id, isGranted); };
    callbacks.changed = [this](const CrashRecord &record, const CrashSuspicion &run) {
        logChange(record, run);
        scheduleDecisions();
    };
    return callbacks;
}

QList<VmId> CrashGuard::members() const
{
    const MonotonicTime now = m_timers.now();
    QList<VmId> members;
    for (const Peer &peer : m_peers.peers()) {
        const bool isSilent = m_peers.sendsToSelf(peer)
            && now - std::max(peer.lastMessage, peer.firstSeen) > HeardTimeout;
        if (!isSilent && !peer.isDraining)
            members.append(peer.vm);
    }
    return members;
}

void CrashGuard::send(const QList<Peer> &receivers, const CrashMessage &message)
{
    m_counters.messagesSent += receivers.size();
    m_datagrams.send(receivers, DatagramKind::Crash, crashMessageToCbor(message, m_timers.now()));
}

void CrashGuard::flush()
{
    m_flushTimer.reset();
    const QList<Peer> receivers = m_peers.peers();
    // Those that come closest to a rejection first.
    QList<CrashRecord> records = std::exchange(m_unsent, {}).values();
    std::stable_sort(records.begin(), records.end(), [](const auto &one, const auto &other) {
        return one.suspicions.size() > other.suspicions.size();
    });
    CrashMessage message;
    for (const CrashRecord &record : std::as_const(records)) {
        message.records.append(record);
        if (message.records.size() < MaxRecordsPerMessage)
            continue;
        send(receivers, message);
        message.records.clear();
    }
    if (!message.records.isEmpty())
        send(receivers, message);
}

void CrashGuard::receive(const Peer &from, const QCborArray &body)
{
    const MonotonicTime now = m_timers.now();
    const std::optional<CrashMessage> message = crashMessageFromCbor(body, now);
    if (!message) {
        logEvent(LogLevel::Warning, EventId::PeerFrameInvalid, {{"from", from.vm.text()}});
        return;
    }
    ++m_counters.messagesReceived;
    checkStall();
    m_ledger.handle(from.vm, *message, now);
    if (m_ledger.isSynchronised())
        synchronise();
    scheduleDecisions();
}

void CrashGuard::logChange(const CrashRecord &record, const CrashSuspicion &run) const
{
    const MonotonicTime now = m_timers.now();
    const VmId &self = m_peers.self().vm;
    const int suspicions = record.isPart()
        ? m_ledger.standing(record.key.fingerprint, SuspicionId(), now).crashes
        : suspicionCount(record, self, now);
    const bool isWithdrawn = run.state == SuspicionState::Withdrawn;
    const bool isRejected =
        m_ledger.verdict(record.key.fingerprint, SuspicionId(), now) == RunVerdict::Reject;
    const EventId event = isWithdrawn ? EventId::QuarantineReleased
        : isRejected                  ? EventId::QuarantineAdded
                                      : EventId::QuarantineSuspect;
    logEvent(
        LogLevel::Info, event,
        {{"fingerprint", record.key.fingerprint.text()},
         {"workspace", record.key.workspace.text()},
         {"part", record.key.part},
         {"target", run.target.text()},
         {"vm", run.daemon.text()},
         {"state", QLatin1String(suspicionStateName(run.state))},
         {"suspicions", QString::number(suspicions)},
         {"age_ms",
          QString::number(std::chrono::duration_cast<Milliseconds>(now - run.changedAt).count())}});
}

RunVerdict CrashGuard::verdict(const CrashSubject &subject)
{
    checkStall();
    return m_admission.verdict(subject, m_timers.now());
}

std::optional<Milliseconds> CrashGuard::retryDelay(const CrashSubject &subject) const
{
    return m_admission.retryDelay(subject, m_timers.now());
}

qsizetype CrashGuard::suspectedParts() const
{
    const MonotonicTime now = m_timers.now();
    const auto &records = m_ledger.records();
    return std::count_if(records.begin(), records.end(), [&](const CrashRecord &record) {
        return record.isPart()
            && m_ledger.standing(record.key.fingerprint, SuspicionId(), now).isSuspected();
    });
}

bool CrashGuard::mayContinue(const RequestFingerprint &request)
{
    const auto record = m_ledger.records().constFind(request);
    return record == m_ledger.records().cend()
        || suspicionCount(*record, m_peers.self().vm, m_timers.now()) < MaxSuspicions - 1;
}

std::unique_ptr<CrashHold> CrashGuard::hold(const CrashSubject &subject, Decided decided)
{
    const int number = m_admission.hold(subject, std::move(decided));
    scheduleDecisions();
    return std::make_unique<CrashHold>(
        [this, number] { m_admission.release(number, m_timers.now()); });
}

void CrashGuard::returnTrials(const QList<CrashTrial> &trials)
{
    for (const CrashTrial &trial : trials)
        m_ledger.withdraw(trial.fingerprint, trial.id, m_timers.now());
    scheduleDecisions();
}

void CrashGuard::scheduleDecisions()
{
    if (m_admission.size() == 0 || m_decisionTimer)
        return;
    m_decisionTimer = m_timers.after(Milliseconds(0), [this] {
        m_decisionTimer.reset();
        m_admission.decide(m_timers.now());
    });
}

void CrashGuard::trialDecided(const RequestFingerprint &request, SuspicionId id, bool isGranted)
{
    isGranted ? ++m_counters.trials : ++m_counters.trialsRefused;
    logEvent(LogLevel::Info, EventId::CrashTrial,
             {{"fingerprint", request.text()},
              {"granted", isGranted ? QStringLiteral("yes") : QStringLiteral("no")}});
    m_admission.trialDecided({request, id}, isGranted, m_timers.now());
}

void CrashGuard::desynchronise(const char *reason)
{
    m_ledger.setSynchronised(false);
    m_desynchronisedAt = m_timers.now();
    m_desynchronisedBy = reason;
    m_ledger.pull();
}

void CrashGuard::synchronise()
{
    if (!m_desynchronisedAt)
        return;
    const auto waited = m_timers.now() - *m_desynchronisedAt;
    const bool isAnswered = m_ledger.isSynchronised();
    const bool isAlone = m_peers.hasListed() && members().isEmpty();
    const bool isLate = waited >= (m_peers.hasListed() ? SynchroniseTimeout : ListTimeout);
    if (isAnswered || isAlone || isLate)
        endSynchronisation(isAnswered);
    else
        m_ledger.pull();
}

void CrashGuard::endSynchronisation(bool isAnswered)
{
    m_ledger.setSynchronised(true);
    const MonotonicTime since = m_desynchronisedAt.value_or(m_timers.now());
    m_desynchronisedAt.reset();
    const Milliseconds waited = std::chrono::duration_cast<Milliseconds>(m_timers.now() - since);
    logEvent(LogLevel::Info, EventId::CrashRecordsRead,
             {{"reason", QLatin1String(m_desynchronisedBy)},
              {"answered", isAnswered ? QStringLiteral("yes") : QStringLiteral("no")},
              {"records", QString::number(m_ledger.records().size())},
              {"ms", QString::number(waited.count())}});
    scheduleDecisions();
}

void CrashGuard::checkStall()
{
    const MonotonicTime now = m_timers.now();
    if (now - m_tickedAt < StallTime || m_desynchronisedAt)
        return;
    m_tickedAt = now;
    desynchronise("stall");
}

void CrashGuard::checkPeers()
{
    const MonotonicTime now = m_timers.now();
    if (now - m_peersCheckedAt < PeerCheckInterval)
        return;
    m_peersCheckedAt = now;
    const QList<Peer> peers = m_peers.peers();
    const bool isHeard = std::any_of(peers.begin(), peers.end(), [this](const Peer &peer) {
        return m_peers.isRecentlyHeard(peer);
    });
    const bool wasCutOff = std::exchange(m_isCutOff, !isHeard && !peers.isEmpty());
    if (wasCutOff && isHeard && !m_desynchronisedAt)
        desynchronise("cut off");
}

void CrashGuard::tick()
{
    checkStall();
    m_tickedAt = m_timers.now();
    checkPeers();
    synchronise();
    m_ledger.tick(m_timers.now());
    // A verdict also changes with time.
    scheduleDecisions();
}

} // namespace cranberry
