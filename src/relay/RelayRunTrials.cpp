#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/CrashGuard.h"
#include "relay/CrashHold.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/RelayContext.h"

#include <algorithm>

namespace cranberry {

bool RelayRun::holdBack()
{
    if (!m_trials.isEmpty())
        return false;
    const RunVerdict verdict = m_context.crashGuard.verdict(m_task.subject);
    if (verdict == RunVerdict::Free)
        return false;
    if (verdict == RunVerdict::Reject) {
        rejectQuarantined();
        return true;
    }
    // The daemon that sends the request to a target holds it back.
    if (shouldForward())
        return false;
    m_phase = Phase::Held;
    logEvent(LogLevel::Info, EventId::CrashHeld,
             {{"request", m_task.request.id.text()},
              {"fingerprint", m_task.subject.request.fingerprint.text()},
              {"verdict", QLatin1String(runVerdictName(verdict))}});
    m_hold = m_context.crashGuard.hold(m_task.subject,
                                       [this](bool isAllowed, const QList<CrashTrial> &trials) {
                                           const auto self = shared_from_this();
                                           holdEnded(isAllowed, trials);
                                       });
    const auto left =
        std::chrono::duration_cast<Milliseconds>(waitsUntil() - m_context.timers.now());
    m_waitTimer = m_context.timers.after(std::clamp(left, Milliseconds(0), timeLeft()), [this] {
        const auto self = shared_from_this();
        if (m_phase == Phase::Held)
            rejectQuarantined();
    });
    return true;
}

void RelayRun::holdEnded(bool isAllowed, const QList<CrashTrial> &trials)
{
    m_hold.reset();
    m_waitTimer.reset();
    m_trials = trials;
    if (isAllowed)
        place();
    else
        rejectQuarantined();
}

void RelayRun::rejectQuarantined()
{
    m_rejectionDelay = m_context.crashGuard.retryDelay(m_task.subject);
    // After an attempt that may have run the request, Quarantined would wrongly say that it has not
    // run.
    if (m_fallback)
        forwardAnswer(*m_fallback);
    else
        fail(m_ran == Ran::No ? ErrorKind::Quarantined : ErrorKind::TargetFailed,
             QStringLiteral("the request is quarantined because it may crash targets"));
}

void RelayRun::returnTrials()
{
    m_context.crashGuard.returnTrials(std::exchange(m_trials, {}));
}

void RelayRun::attemptStarted(const TargetId &target)
{
    // Once the generation has begun, its prompt is not the reason if its target crashes.
    CrashSubject subject = m_task.subject;
    if (hasBegun())
        subject.parts.clear();
    m_monitored =
        m_context.crashGuard.attempts().started(subject, target, std::exchange(m_trials, {}));
    m_isProgressKnown = false;
}

void RelayRun::reportAttemptEnd(RelayAttemptEnd end)
{
    if (const int attempt = std::exchange(m_monitored, 0))
        m_context.crashGuard.attempts().ended(attempt, end);
}

void RelayRun::endTakeover(RelayAttemptEnd end)
{
    if (const int attempt = std::exchange(m_monitoredTakeover, 0))
        m_context.crashGuard.attempts().ended(attempt, end);
}

} // namespace cranberry
