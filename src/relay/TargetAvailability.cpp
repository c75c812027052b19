#include "relay/TargetAvailability.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AvailabilityNotice.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr qsizetype MaxLoggedText = 60;

qint64 millisecondsUntil(MonotonicTime time, MonotonicTime now)
{
    return std::max<qint64>(std::chrono::ceil<Milliseconds>(time - now).count(), 0);
}

} // namespace

TargetAvailability::TargetAvailability(TimerService &timers)
    : m_timers(timers)
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
    if (!notice.isLeaving || hasSaidLeaving(call.target))
        return;
    ++m_counters.leaving;
    m_leavingSince.emplace(call.target, m_timers.now());
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
    TargetPause &pause = m_pauses[call.target];
    const qint64 before = millisecondsUntil(pause.until, now);
    extendPause(pause, duration, now);
    logEvent(LogLevel::Info, EventId::TargetPaused,
             {{"target", call.target.text()},
              {"status", QString::number(status)},
              {"call", QLatin1String(callPurposeName(call.purpose))},
              {"asked_ms", QString::number(duration.count())},
              {"before_ms", QString::number(before)}});
}

void TargetAvailability::logUnreadable(const TargetCall &call, const QByteArray &value)
{
    ++m_counters.unreadablePauses;
    logEvent(LogLevel::Warning, EventId::TargetPauseUnreadable,
             {{"target", call.target.text()},
              {"call", QLatin1String(callPurposeName(call.purpose))},
              {"value", QString::fromLatin1(value.left(MaxLoggedText))}});
}

void TargetAvailability::recordSent(const TargetCall &call)
{
    if (isPaused(call.target))
        ++m_counters.sentWhilePaused[std::size_t(call.purpose)];
}

bool TargetAvailability::isPaused(const TargetId &target) const
{
    const auto known = m_pauses.find(target);
    return known != m_pauses.end() && cranberry::isPaused(known->second, m_timers.now());
}

Milliseconds TargetAvailability::untilResumed(const TargetId &target) const
{
    const auto known = m_pauses.find(target);
    return Milliseconds(
        known == m_pauses.end() ? 0 : millisecondsUntil(known->second.until, m_timers.now()));
}

qsizetype TargetAvailability::paused() const
{
    const MonotonicTime now = m_timers.now();
    return std::count_if(m_pauses.cbegin(), m_pauses.cend(), [now](const auto &entry) {
        return cranberry::isPaused(entry.second, now);
    });
}

} // namespace cranberry
