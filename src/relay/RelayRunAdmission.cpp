#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "relay/FleetAdmission.h"
#include "relay/OutputForecast.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetLimits.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Nothing is rejected early until requests have waited without a break for this time: shortages of
/// a second or so, as when engines leave, end before most of those that wait would be late.
constexpr Milliseconds MinContentionForRejection{2000};
/// A request waits if it is expected to get room within this part of the time that it may wait.
constexpr double AcceptedWaitFraction = 0.7;
/// Time per token of an engine that runs many generations.
constexpr double SecondsPerToken = 0.01;

} // namespace

Urgency RelayRun::urgency(MonotonicTime now) const
{
    const bool isBrief = m_task.engine && m_expectedOutput <= ShortOutputLimit;
    return {isOverdue(now) ? OverdueLevel : m_level, m_returns, m_task.arrived, isBrief};
}

Work RelayRun::work() const
{
    // Requests of a plain service are taken for equally long.
    if (!m_task.engine)
        return {1, 1};
    const double tokens = std::max(double(expectedTokens().value()), 1.0);
    const std::chrono::duration<double> reading = readingTime();
    return {tokens,
            tokens * (reading.count() + SecondsPerToken * double(m_expectedOutput.value()))};
}

quint64 RelayRun::shortFingerprint() const
{
    constexpr int HexDigits = 16;
    constexpr int HexBase = 16;
    return m_task.subject.request.fingerprint.text().left(HexDigits).toULongLong(nullptr, HexBase);
}

bool RelayRun::canUseRoom(const QList<const TargetRecord *> &targets) const
{
    if (m_context.reach.isUnreachable(m_task.service))
        return false;
    const QSet<TargetId> notStarting = m_context.availability.notStarting();
    return std::any_of(targets.begin(), targets.end(), [&](const TargetRecord *target) {
        const TargetId &id = target->entry.id;
        return !m_excluded.contains(id) && !notStarting.contains(id)
            && !m_context.limits.isLimited(id);
    });
}

AdmissionEstimate RelayRun::estimate(const Work &ownAhead, Milliseconds limit) const
{
    const MonotonicTime now = m_context.timers.now();
    return m_context.admission.estimate(m_task.service, urgency(now), ownAhead, work(), limit);
}

void RelayRun::rejectForRoom(const AdmissionEstimate &estimate, Milliseconds limit)
{
    const MonotonicTime now = m_context.timers.now();
    const Urgency place = urgency(now);
    const auto onTime = std::chrono::duration_cast<Milliseconds>(
        m_task.arrived + m_task.route.objective - readingTime() - now);
    const Milliseconds due = m_context.admission.untilDue(m_task.service, shortFingerprint());
    const bool isEarly = m_returns == ReturnKind::Early && due.count() > 0;
    m_rejectionDelay = isEarly
        ? due
        : m_context.admission.reject(m_task.service, place.level, work(), shortFingerprint(),
                                     timeout(), onTime, estimate);
    logEvent(LogLevel::Info, EventId::AdmissionRejected,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"level", QString::number(place.level)},
              {"returns", QLatin1String(returnKindName(m_returns))},
              {"work", QString::number(work().room, 'f', 0)},
              {"ahead", QString::number(estimate.ahead.roomSeconds, 'f', 0)},
              {"placed_per_s", QString::number(estimate.placedPerSecond.value_or(0), 'f', 1)},
              {"expected_ms", QString::number(estimate.wait.value_or(Milliseconds(0)).count())},
              {"limit_ms", QString::number(limit.count())},
              {"retry_ms", QString::number(m_rejectionDelay->count())},
              {"heard", QString::number(estimate.heard)},
              {"age_ms", QString::number(estimate.oldestReport.count())}});
}

bool RelayRun::rejectIfHopeless(const Work &ownAhead)
{
    const MonotonicTime now = m_context.timers.now();
    const AdmissionSettings &settings = m_context.admission.settings();
    if (!settings.order || !settings.earlyRejection || !m_waitsForRoom || isOverdue(now))
        return false;
    const auto limit =
        std::chrono::duration_cast<Milliseconds>(std::min(waitsUntil(), m_deadline) - now);
    const AdmissionEstimate current = estimate(ownAhead, limit);
    // Estimates are uncertain: a caller that is rejected now has more time left than one that has
    // waited in vain.
    const double accepted = m_phase == Phase::Waiting ? 1 : AcceptedWaitFraction;
    const bool isMeasured =
        m_context.admission.contendedFor(m_task.service) >= MinContentionForRejection;
    const bool isHopeless = isMeasured && current.wait && *current.wait > accepted * limit;
    if (!isHopeless && m_returns != ReturnKind::Early)
        return false;
    if (m_fallback) {
        forwardAnswer(*m_fallback);
        return true;
    }
    // The caller of a request that may have run is not told to retry.
    if (m_ran == Ran::No)
        rejectForRoom(current, limit);
    fail(m_ran == Ran::No ? ErrorKind::NoTarget : ErrorKind::TargetFailed,
         QStringLiteral("no room is expected in time"));
    return true;
}

} // namespace cranberry
