#pragma once

#include "base/Units.h"
#include "quarantine/Quarantine.h"

#include <QHash>
#include <QList>

#include <memory>

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class TimerService;
class TimerSubscription;

/// How an attempt ended, as evidence for or against a crash of its target.
enum class RelayAttemptEnd {
    /// The target completed the answer.
    Answered,
    /// The attempt ended in another way that is not the target's fault.
    Ended,
    /// The connection broke; the target may have crashed.
    Broken,
};

/// Quarantines requests that crash targets. A broken connection alone does not prove a crash, since
/// targets also cut off single answers. Nor does an entry that ends, since some targets leave
/// without notice and complete their requests. A request is blamed only if both occur within a few
/// seconds of each other, in either order. A request that is blamed for two crashes, at any
/// daemons, is quarantined; a complete answer before that clears it everywhere.
/// Thread safety: only from the thread of the event loop.
class CrashGuard
{
public:
    struct Counters {
        qint64 attemptsBroken = 0;
        qint64 attemptsEnded = 0;
        qint64 targetsDisappeared = 0;
        qint64 newsReceived = 0;
    };

    /// Precondition: all arguments outlive the object.
    CrashGuard(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams);
    ~CrashGuard();

    /// Whether the request must not be sent to any target.
    bool isQuarantined(const RequestFingerprint &request);
    void attemptEnded(const RequestFingerprint &request, const WorkspaceId &workspace,
                      const TargetId &target, RelayAttemptEnd end);
    /// The entry of @p target ended without prior notice that it leaves.
    void targetDisappeared(const TargetId &target);
    const Counters &counters() const { return m_counters; }

private:
    struct BrokenAttempt {
        RequestFingerprint request;
        TargetId target;
        MonotonicTime until;
    };

    void attemptBroken(const RequestFingerprint &request, const WorkspaceId &workspace,
                       const TargetId &target);
    void removeExpired();

    TimerService &m_timers;
    Counters m_counters;
    Quarantine m_quarantine;
    QList<BrokenAttempt> m_brokenAttempts;
    QHash<TargetId, MonotonicTime> m_disappeared;
    std::unique_ptr<TimerSubscription> m_sweepTimer;
};

} // namespace cranberry
