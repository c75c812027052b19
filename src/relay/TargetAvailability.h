#pragma once

#include "base/Ids.h"
#include "relay/TargetCall.h"
#include "relay/TargetPause.h"

#include <QSet>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cranberry {

class TimerService;
class TimerSubscription;
struct AvailabilityNotice;

/// What the targets say of themselves in their answers to this daemon: the pauses that they ask
/// for, and that they leave. It is told of each answer of a target and asked before anything is
/// sent to one; see TargetClient. Kept by incarnation, and while the entry of a target is missing.
/// Thread safety: only from the thread of the event loop.
class TargetAvailability
{
public:
    using ChangedCallback = std::function<void()>;
    using LeavingCallback = std::function<void(const TargetId &target)>;
    /// Returns the number of requests of this daemon that run at a target.
    using RunningCount = std::function<int(const TargetId &target)>;
    /// A request is counted in TargetPause::unanswered while it holds this. Null for other calls.
    using PendingAnswer = std::shared_ptr<void>;

    struct Counters {
        qint64 pauses = 0;
        qint64 unreadablePauses = 0;
        qint64 leaving = 0;
        /// Calls to paused targets that could not wait.
        std::array<qint64, CallPurposeCount> sentWhilePaused{};
        /// Calls that were not made.
        std::array<qint64, CallPurposeCount> withheld{};
    };

    /// Precondition: @p timers outlives the object.
    TargetAvailability(TimerService &timers, RunningCount running);
    ~TargetAvailability();

    /// Called when requests that wait for a target should be tried again.
    void onChanged(ChangedCallback callback) { m_changed = std::move(callback); }
    /// Called when a target says for the first time that it is leaving.
    void onLeaving(LeavingCallback callback) { m_leaving = std::move(callback); }

    /// Records the head of an answer of @p call.target.
    void recordAnswer(const TargetCall &call, int status, const AvailabilityNotice &notice);
    /// Whether @p call may be made now. While its target is paused, only a few calls may be made
    /// that cannot wait; a target that is leaving starts no request.
    bool mayCall(const TargetCall &call) const { return mayCall(call.target, call.purpose); }
    bool mayCall(const TargetId &target, CallPurpose purpose) const;
    /// Records a call. Returns nothing if it may not be made; it must not be made then.
    /// The result is held until the answer begins.
    std::optional<PendingAnswer> begin(const TargetCall &call);
    /// The targets that start no request of this daemon now.
    QSet<TargetId> notStarting() const;
    /// Forgets targets that ended some time ago. @p isKnown: whether a target exists.
    void forgetGone(const std::function<bool(const TargetId &)> &isKnown);

    bool hasSaidLeaving(const TargetId &target) const { return m_leavingTargets.count(target) > 0; }
    bool isPaused(const TargetId &target) const;
    /// The rest of its pause; zero if it is not paused.
    Milliseconds untilResumed(const TargetId &target) const;
    /// Number of paused targets.
    qsizetype paused() const;
    const Counters &counters() const { return m_counters; }

private:
    struct Entry {
        TargetPause pause;
        /// Identifies the pause: requests are counted in the one after which they were sent.
        int number = 0;
        /// When the target was last known to exist.
        MonotonicTime knownAt;
    };

    void pause(const TargetCall &call, int status, Milliseconds duration);
    void logUnreadable(const TargetCall &call, const QByteArray &value);
    void scheduleResumption();
    void resume();
    void answerBegan(const TargetId &target, int pauseNumber);
    void recordAccepted(const TargetId &target);

    TimerService &m_timers;
    RunningCount m_running;
    ChangedCallback m_changed;
    LeavingCallback m_leaving;
    Counters m_counters;
    std::map<TargetId, Entry> m_pauses;
    int m_lastPause = 0;
    /// When each target that said that it is leaving was last known to exist.
    std::map<TargetId, MonotonicTime> m_leavingTargets;
    /// The pauses that have not ended.
    QSet<TargetId> m_pausedTargets;
    std::unique_ptr<TimerSubscription> m_resumptionTimer;
};

} // namespace cranberry
