#pragma once

#include "base/Units.h"
#include "quarantine/CrashAdmission.h"
#include "quarantine/CrashLedger.h"
#include "relay/AttemptMonitor.h"

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class CrashHold;
class PeerDatagrams;
class PeerDirectory;
class TargetClient;
class TimerService;
class TimerSubscription;
struct Peer;
enum class RelayAttemptEnd;

/// Bounds the number of targets that one request, or requests with one part in their prompts, crash
/// over the fleet. AttemptMonitor finds out which attempts may have crashed their targets,
/// CrashLedger shares this with all daemons, CrashAdmission decides which requests may run, and
/// this class connects them to the requests and the network. Thread safety: only from the thread of
/// the event loop.
class CrashGuard
{
public:
    struct Counters {
        qint64 trials = 0;
        qint64 trialsRefused = 0;
        qint64 messagesSent = 0;
        qint64 messagesReceived = 0;
    };
    using Decided = CrashAdmission::Decided;

    /// Precondition: all arguments outlive the object.
    CrashGuard(TimerService &timers, TargetClient &client, PeerDirectory &peers,
               PeerDatagrams &datagrams, const TargetDirectory &targets,
               AttemptMonitor::ProbeRequest probeRequest, AttemptMonitor::IsOther isOther);
    ~CrashGuard();

    /// No other daemon has records, as the whole fleet starts for the first time.
    void setFirstStart() { endSynchronisation(false); }
    /// Whether the request may run now. A request with verdict Trial or Wait is passed to hold().
    RunVerdict verdict(const CrashSubject &subject);
    /// Delay after which the caller should retry if the verdict is Reject.
    std::optional<Milliseconds> retryDelay(const CrashSubject &subject) const;
    /// Calls @p decided later, once, unless the result is destroyed before.
    std::unique_ptr<CrashHold> hold(const CrashSubject &subject, Decided decided);
    /// Gives up trials for which nothing was sent.
    void returnTrials(const QList<CrashTrial> &trials);
    /// Whether a generation that has begun may continue at another target.
    bool mayContinue(const RequestFingerprint &request);

    AttemptMonitor &attempts() { return m_attempts; }
    const Counters &counters() const { return m_counters; }
    const AttemptMonitor::Counters &attemptCounters() const { return m_attempts.counters(); }
    /// Requests that wait for permission.
    qsizetype holding() const { return m_admission.size(); }
    const CrashAdmission::Counters &admissionCounters() const { return m_admission.counters(); }
    /// Requests with a run that may have crashed its target, and parts of prompts.
    qsizetype suspects() const { return m_ledger.records().size(); }
    /// Parts of prompts that have crashed several targets.
    qsizetype suspectedParts() const;

private:
    CrashLedger::Callbacks callbacks();
    QList<VmId> members() const;
    void send(const QList<Peer> &receivers, const CrashMessage &message);
    void flush();
    void receive(const Peer &from, const QCborArray &body);
    void logChange(const CrashRecord &record, const CrashSuspicion &run) const;
    void trialDecided(const RequestFingerprint &request, SuspicionId id, bool isGranted);
    void tick();
    /// Holds all requests until other daemons have sent their records.
    void desynchronise(const char *reason);
    void synchronise();
    void endSynchronisation(bool isAnswered);
    void checkStall();
    void checkPeers();
    void scheduleDecisions();

    TimerService &m_timers;
    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    Counters m_counters;
    CrashLedger m_ledger;
    CrashAdmission m_admission;
    AttemptMonitor m_attempts;
    /// Records that are to be sent to all daemons.
    QHash<RequestFingerprint, CrashRecord> m_unsent;
    /// Set while the records of other daemons are awaited.
    std::optional<MonotonicTime> m_desynchronisedAt;
    const char *m_desynchronisedBy = "";
    MonotonicTime m_tickedAt;
    MonotonicTime m_peersCheckedAt;
    bool m_isCutOff = false;
    std::unique_ptr<TimerSubscription> m_flushTimer;
    std::unique_ptr<TimerSubscription> m_decisionTimer;
    std::unique_ptr<TimerSubscription> m_tickTimer;
};

} // namespace cranberry
