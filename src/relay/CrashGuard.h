// Defines CrashGuard, which keeps requests that crash targets away from them.
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

/// How an attempt ended, as far as the target's life is concerned.
enum class AttemptFate {
    /// The target answered it to the end.
    Answered,
    /// It ended otherwise, and not by a fault of the target.
    Ended,
    /// The connection broke; the target may have crashed.
    Broken,
};

/// A connection that breaks does not show a crash: targets also cut single answers short. Nor does
/// an entry that ends, as some targets leave without a word and finish what they have. Only the two
/// together blame a request, within some seconds and in either order. Two such crashes, at
/// whichever daemons, put the request into quarantine; an answer before clears it everywhere.
/// Thread safety: only from the thread of the event loop.
class CrashGuard
{
public:
    /// Precondition: everything passed outlives the object.
    CrashGuard(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams);
    ~CrashGuard();

    /// The request is not to be sent to any target.
    bool isHeldBack(const RequestFingerprint &request);
    void attemptEnded(const RequestFingerprint &request, const WorkspaceId &workspace,
                      const TargetId &target, AttemptFate fate);
    /// The entry of @p target ended though it had not said that it leaves.
    void targetGone(const TargetId &target);

private:
    struct BrokenAttempt {
        RequestFingerprint request;
        TargetId target;
        MonotonicTime until;
    };

    void attemptBroke(const RequestFingerprint &request, const WorkspaceId &workspace,
                      const TargetId &target);
    void forgetOld();

    TimerService &m_timers;
    Quarantine m_quarantine;
    QList<BrokenAttempt> m_broken;
    QHash<TargetId, MonotonicTime> m_gone;
    std::unique_ptr<TimerSubscription> m_sweep;
};

} // namespace cranberry
