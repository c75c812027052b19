#pragma once

#include "base/Ids.h"
#include "relay/TargetCall.h"
#include "relay/TargetPause.h"

#include <array>
#include <functional>
#include <map>
#include <memory>

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

    struct Counters {
        qint64 pauses = 0;
        qint64 unreadablePauses = 0;
        qint64 leaving = 0;
        /// Calls to paused targets.
        std::array<qint64, CallPurposeCount> sentWhilePaused{};
    };

    /// Precondition: @p timers outlives the object.
    explicit TargetAvailability(TimerService &timers);
    ~TargetAvailability();

    /// Called when requests that wait for a target should be tried again.
    void onChanged(ChangedCallback callback) { m_changed = std::move(callback); }
    /// Called when a target says for the first time that it is leaving.
    void onLeaving(LeavingCallback callback) { m_leaving = std::move(callback); }

    /// Records the head of an answer of @p call.target.
    void recordAnswer(const TargetCall &call, int status, const AvailabilityNotice &notice);
    /// Records that something is sent to a target.
    void recordSent(const TargetCall &call);

    bool hasSaidLeaving(const TargetId &target) const { return m_leavingSince.count(target) > 0; }
    bool isPaused(const TargetId &target) const;
    /// The rest of its pause; zero if it is not paused.
    Milliseconds untilResumed(const TargetId &target) const;
    /// Number of paused targets.
    qsizetype paused() const;
    const Counters &counters() const { return m_counters; }

private:
    void pause(const TargetCall &call, int status, Milliseconds duration);
    void logUnreadable(const TargetCall &call, const QByteArray &value);

    TimerService &m_timers;
    ChangedCallback m_changed;
    LeavingCallback m_leaving;
    Counters m_counters;
    std::map<TargetId, TargetPause> m_pauses;
    /// When each target first said that it is leaving.
    std::map<TargetId, MonotonicTime> m_leavingSince;
};

} // namespace cranberry
