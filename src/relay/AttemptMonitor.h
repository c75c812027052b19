#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "quarantine/CrashSubject.h"
#include "quarantine/CrashTrial.h"

#include <QHash>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cranberry {

class CrashLedger;
class HttpExchange;
class HttpHeaders;
class TargetClient;
class TargetDirectory;
class TimerService;
class TimerSubscription;
enum class HttpExchangeEnd;
enum class RelayAttemptEnd;
struct HttpRequest;

/// Finds out which attempts may have crashed their targets. An attempt that ended without an
/// answer, for whatever reason, and one without a sign of its target for some time, make this
/// daemon probe the target. A target that answers the probe has survived; one that refuses it, or
/// is silent, may have been crashed by the request. Thread safety: only from the thread of the
/// event loop.
class AttemptMonitor
{
public:
    /// Returns the request that probes @p target, of @p service, without running anything there.
    using ProbeRequest =
        std::function<HttpRequest(const ServiceId &service, const TargetId &target)>;
    /// Whether the answer to a probe is that of another target, which has the same address now.
    using IsOther =
        std::function<bool(const TargetId &target, int status, const HttpHeaders &headers)>;

    struct Counters {
        qint64 unexplained = 0;
        qint64 probes = 0;
        qint64 survived = 0;
        qint64 suspected = 0;
        /// Suspected attempts of requests that had been suspected before.
        qint64 suspectedAgain = 0;
    };

    /// Precondition: everything passed outlives the monitor.
    AttemptMonitor(TimerService &timers, TargetClient &client, const TargetDirectory &targets,
                   CrashLedger &ledger, ProbeRequest probeRequest, IsOther isOther);
    ~AttemptMonitor();

    /// Records an attempt that is being sent and returns its number. @p trials: the runs that were
    /// permitted for it.
    int started(const CrashSubject &subject, const TargetId &target,
                const QList<CrashTrial> &trials);
    /// An event of the answer arrived. Returns whether further ones do not matter.
    bool progressed(int attempt);
    void ended(int attempt, RelayAttemptEnd end);

    /// The target began to answer a request that was sent at @p sentAt.
    void answered(const TargetId &target, MonotonicTime sentAt);
    /// Other data of the target arrived.
    void heard(const TargetId &target);
    /// The target ended with everything that ran there.
    void lost(const TargetId &target);
    /// The entry of the target ended without prior notice that it leaves.
    void disappeared(const TargetId &target);

    const Counters &counters() const { return m_counters; }

private:
    struct Attempt {
        CrashSubject subject;
        TargetId target;
        MonotonicTime startedAt;
        /// When the first event of the answer arrived.
        std::optional<MonotonicTime> begunAt;
        /// The target survived the begin of the answer.
        bool hasBegun = false;
        std::optional<MonotonicTime> endedAt;
        /// Once it has ended: an answer to what was sent from this time on shows that its target
        /// has survived.
        MonotonicTime judgedFrom;
        /// The target answered a probe after the end.
        bool hasSurvived = false;
        std::optional<SuspicionId> run;
        /// Trials of its parts, and suspicions of them.
        QList<CrashTrial> partRuns;
        bool isSuspected = false;
        /// When the probe was sent that the target has not answered in time.
        std::optional<MonotonicTime> silentProbe;
    };
    struct Probed {
        HttpEndpoint endpoint;
        ServiceId service;
        /// Attempts at the target that are not removed.
        int attempts = 0;
        /// Those that have ended or are suspected, and may still be cleared by an answer.
        std::set<int> open;
        /// Those that have ended, and may only be suspected if the target disappears.
        std::set<int> settled;
        /// The last data of the target.
        MonotonicTime heardAt;
        std::unique_ptr<HttpExchange> probe;
        MonotonicTime probedAt;
        /// Time for which this daemon has waited for the answer of the probe.
        Milliseconds waited{0};
        bool isSilent = false;
        /// Time for which probes have failed without a refusal.
        Milliseconds failing{0};
    };

    void check();
    void probe(const TargetId &target, Probed &probed);
    void probeAnswered(const TargetId &target, int status, const HttpHeaders &headers);
    void probeEnded(const TargetId &target, HttpExchangeEnd end);
    static bool needsProbe(const Attempt &attempt, const Probed &probed, MonotonicTime now);
    void survived(const TargetId &target, MonotonicTime sentAt, bool isProbe);
    void suspect(int number, Attempt &attempt, const char *reason);
    void suspectEnded(const TargetId &target, MonotonicTime before, const char *reason);
    void suspectSilent(const TargetId &target, const Probed &probed);
    void suspectParts(Attempt &attempt, MonotonicTime now);
    void clearParts(Attempt &attempt);
    void withdraw(Attempt &attempt);
    void removeOld(MonotonicTime now);
    void remove(int number);
    void removeOldOf(std::set<int> numbers, MonotonicTime now);
    void startTimer();
    void scheduleCheck();

    TimerService &m_timers;
    TargetClient &m_client;
    const TargetDirectory &m_targets;
    CrashLedger &m_ledger;
    ProbeRequest m_probeRequest;
    IsOther m_isOther;
    Counters m_counters;
    int m_lastNumber = 0;
    std::map<int, Attempt> m_attempts;
    MonotonicTime m_removedAt;
    std::map<TargetId, Probed> m_probed;
    QHash<TargetId, MonotonicTime> m_disappeared;
    MonotonicTime m_checkedAt;
    std::unique_ptr<TimerSubscription> m_checkTimer;
};

} // namespace cranberry
