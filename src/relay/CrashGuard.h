#pragma once

#include "base/Units.h"
#include "quarantine/CrashLedger.h"
#include "relay/AttemptMonitor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cranberry {

class CrashHold;
class PeerDatagrams;
class PeerDirectory;
class TimerService;
class TimerSubscription;
struct Peer;
enum class RelayAttemptEnd;

/// Bounds the number of targets that one request crashes over the fleet. AttemptMonitor finds out
/// which attempts may have crashed their targets, CrashLedger shares this with all daemons and lets
/// one daemon at a time run a suspected request, and this class connects both to the requests and
/// the network.
/// Thread safety: only from the thread of the event loop.
class CrashGuard
{
public:
    struct Counters {
        qint64 held = 0;
        qint64 rejected = 0;
        qint64 trials = 0;
        qint64 trialsRefused = 0;
        qint64 messagesSent = 0;
        qint64 messagesReceived = 0;
    };
    /// The request may run, as the trial @p trial if set; or it must not run.
    using Decided = std::function<void(bool isAllowed, std::optional<SuspicionId> trial)>;

    /// Precondition: all arguments outlive the object.
    CrashGuard(TimerService &timers, HttpClient &client, PeerDirectory &peers,
               PeerDatagrams &datagrams, const TargetDirectory &targets,
               AttemptMonitor::ProbeRequest probeRequest, AttemptMonitor::IsOther isOther);
    ~CrashGuard();

    /// No other daemon has records, as the whole fleet starts for the first time.
    void setFirstStart() { endSynchronisation(false); }
    /// Whether the request may run now. A request with verdict Trial or Wait is passed to hold().
    RunVerdict verdict(const RequestFingerprint &request);
    /// Calls @p decided later, once, unless the result is destroyed before.
    std::unique_ptr<CrashHold> hold(const RequestFingerprint &request, const WorkspaceId &workspace,
                                    Decided decided);
    /// Gives up a trial for which nothing was sent.
    void returnTrial(const RequestFingerprint &request, SuspicionId trial);
    /// Whether a generation that has begun may continue at another target.
    bool mayContinue(const RequestFingerprint &request);

    AttemptMonitor &attempts() { return m_attempts; }
    const Counters &counters() const { return m_counters; }
    const AttemptMonitor::Counters &attemptCounters() const { return m_attempts.counters(); }
    /// Requests that wait for permission.
    qsizetype holding() const { return qsizetype(m_holds.size()); }
    /// Requests with a run that may have crashed its target.
    qsizetype suspects() const { return m_ledger.records().size(); }

private:
    struct Hold {
        RequestFingerprint request;
        WorkspaceId workspace;
        Decided decided;
    };

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
    void decideHolds();
    void decide(int number, bool isAllowed, std::optional<SuspicionId> trial);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    Counters m_counters;
    CrashLedger m_ledger;
    AttemptMonitor m_attempts;
    int m_lastHold = 0;
    std::map<int, Hold> m_holds;
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
