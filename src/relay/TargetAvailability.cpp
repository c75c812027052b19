#include "relay/TargetAvailability.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AvailabilityNotice.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr qsizetype MaxLoggedText = 60;
/// The entry of a target may be missing for some time although it runs.
constexpr Milliseconds ForgetDelay{600000};
/// A timer may not be set for longer; a pause of days is checked in between.
constexpr Milliseconds MaxTimerDelay{60000};

qint64 millisecondsUntil(MonotonicTime time, MonotonicTime now)
{
    return std::max<qint64>(std::chrono::ceil<Milliseconds>(time - now).count(), 0);
}

} // namespace

TargetAvailability::TargetAvailability(TimerService &timers, RunningCount running)
    : m_timers(timers)
    , m_running(std::move(running))
    , m_changed([] {})
    , m_leaving([](const TargetId &) {})
{
}

TargetAvailability::~TargetAvailability() = default;

void TargetAvailability::recordAnswer(const TargetCall &call, int status,
                                      const AvailabilityNotice &notice)
{
    if (notice.isOther)
        return;
    if (!notice.unreadablePause.isEmpty())
        logUnreadable(call, notice.unreadablePause);
    if (notice.pause)
        pause(call, status, *notice.pause);
    else if (!notice.isRejection && call.purpose == CallPurpose::Request)
        recordAccepted(call.target);
    if (!notice.isLeaving || hasSaidLeaving(call.target))
        return;
    ++m_counters.leaving;
    m_leavingTargets.emplace(call.target, m_timers.now());
    logEvent(LogLevel::Info, EventId::TargetSaidLeaving,
             {{"target", call.target.text()},
              {"status", QString::number(status)},
              {"call", QLatin1String(callPurposeName(call.purpose))}});
    m_leaving(call.target);
}

void TargetAvailability::pause(const TargetCall &call, int status, Milliseconds duration)
{
    ++m_counters.pauses;
    const MonotonicTime now = m_timers.now();
    Entry &entry = m_pauses[call.target];
    const qint64 before = millisecondsUntil(entry.pause.until, now);
    if (extendPause(entry.pause, duration, m_running(call.target), now))
        entry.number = ++m_lastPause;
    entry.knownAt = now;
    m_pausedTargets.insert(call.target);
    logEvent(LogLevel::Info, EventId::TargetPaused,
             {{"target", call.target.text()},
              {"status", QString::number(status)},
              {"call", QLatin1String(callPurposeName(call.purpose))},
              {"asked_ms", QString::number(duration.count())},
              {"before_ms", QString::number(before)}});
    scheduleResumption();
}

void TargetAvailability::scheduleResumption()
{
    m_resumptionTimer.reset();
    if (m_pausedTargets.isEmpty())
        return;
    Milliseconds delay = MaxTimerDelay;
    for (const TargetId &target : std::as_const(m_pausedTargets))
        delay = std::min(delay, untilResumed(target));
    m_resumptionTimer = m_timers.after(delay, [this] { resume(); });
}

void TargetAvailability::resume()
{
    const qsizetype before = m_pausedTargets.size();
    m_pausedTargets.removeIf([this](const TargetId &target) {
        if (isPaused(target))
            return false;
        logEvent(LogLevel::Info, EventId::TargetResumed, {{"target", target.text()}});
        return true;
    });
    scheduleResumption();
    if (m_pausedTargets.size() < before)
        m_changed();
}

void TargetAvailability::recordAccepted(const TargetId &target)
{
    const auto known = m_pauses.find(target);
    if (known == m_pauses.end())
        return;
    if (cranberry::recordAccepted(known->second.pause, m_timers.now()))
        m_pauses.erase(known);
    m_changed();
}

void TargetAvailability::answerBegan(const TargetId &target, int pauseNumber)
{
    const auto known = m_pauses.find(target);
    if (known == m_pauses.end() || known->second.number != pauseNumber)
        return;
    --known->second.pause.unanswered;
    m_changed();
}

void TargetAvailability::logUnreadable(const TargetCall &call, const QByteArray &value)
{
    ++m_counters.unreadablePauses;
    logEvent(LogLevel::Warning, EventId::TargetPauseUnreadable,
             {{"target", call.target.text()},
              {"call", QLatin1String(callPurposeName(call.purpose))},
              {"value", QString::fromLatin1(value.left(MaxLoggedText))}});
}

bool TargetAvailability::mayCall(const TargetId &target, CallPurpose purpose) const
{
    const bool isStart = purpose == CallPurpose::Request || purpose == CallPurpose::Reservation;
    if (isStart && hasSaidLeaving(target))
        return false;
    const auto known = m_pauses.find(target);
    if (known == m_pauses.end())
        return true;
    const MonotonicTime now = m_timers.now();
    const TargetPause &pause = known->second.pause;
    switch (purpose) {
    case CallPurpose::Request:
    case CallPurpose::Reservation:
        return mayStart(pause, now);
    case CallPurpose::Release:
    case CallPurpose::Report:
    case CallPurpose::ReachProbe:
        return !cranberry::isPaused(pause, now);
    case CallPurpose::Continuation:
    case CallPurpose::CrashProbe:
        return mayExcept(pause, now);
    case CallPurpose::Move:
        // It frees the room that the target is short of, and the generation would be lost.
        return true;
    }
    return true;
}

std::optional<TargetAvailability::PendingAnswer> TargetAvailability::begin(const TargetCall &call)
{
    if (!mayCall(call)) {
        ++m_counters.withheld[std::size_t(call.purpose)];
        logEvent(LogLevel::Debug, EventId::CallWithheld,
                 {{"target", call.target.text()},
                  {"call", QLatin1String(callPurposeName(call.purpose))},
                  {"paused_ms", QString::number(untilResumed(call.target).count())}});
        return std::nullopt;
    }
    const auto known = m_pauses.find(call.target);
    if (known == m_pauses.end())
        return PendingAnswer();
    TargetPause &pause = known->second.pause;
    if (cranberry::isPaused(pause, m_timers.now())) {
        ++m_counters.sentWhilePaused[std::size_t(call.purpose)];
        ++pause.exceptions;
        return PendingAnswer();
    }
    if (call.purpose != CallPurpose::Request)
        return PendingAnswer();
    ++pause.unanswered;
    // The value is not used; its end is.
    return PendingAnswer(
        this, [target = call.target, number = known->second.number](void *availability) {
            static_cast<TargetAvailability *>(availability)->answerBegan(target, number);
        });
}

QSet<TargetId> TargetAvailability::notStarting() const
{
    QSet<TargetId> targets;
    const MonotonicTime now = m_timers.now();
    for (const auto &[target, entry] : m_pauses) {
        if (!mayStart(entry.pause, now))
            targets.insert(target);
    }
    for (const auto &[target, time] : m_leavingTargets)
        targets.insert(target);
    return targets;
}

void TargetAvailability::forgetGone(const std::function<bool(const TargetId &)> &isKnown)
{
    const MonotonicTime now = m_timers.now();
    for (auto target = m_leavingTargets.begin(); target != m_leavingTargets.end();) {
        if (isKnown(target->first))
            target->second = now;
        target =
            now - target->second > ForgetDelay ? m_leavingTargets.erase(target) : std::next(target);
    }
    for (auto entry = m_pauses.begin(); entry != m_pauses.end();) {
        if (isKnown(entry->first))
            entry->second.knownAt = now;
        const bool isGone = now - entry->second.knownAt > ForgetDelay;
        if (isGone)
            m_pausedTargets.remove(entry->first);
        entry = isGone ? m_pauses.erase(entry) : std::next(entry);
    }
}

bool TargetAvailability::isPaused(const TargetId &target) const
{
    const auto known = m_pauses.find(target);
    return known != m_pauses.end() && cranberry::isPaused(known->second.pause, m_timers.now());
}

Milliseconds TargetAvailability::untilResumed(const TargetId &target) const
{
    const auto known = m_pauses.find(target);
    return Milliseconds(
        known == m_pauses.end() ? 0 : millisecondsUntil(known->second.pause.until, m_timers.now()));
}

qsizetype TargetAvailability::paused() const
{
    return m_pausedTargets.size();
}

} // namespace cranberry
