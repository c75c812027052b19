// The part of RelayRun that judges how a send ended and whether the request is tried again.
#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/CrashGuard.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/OutputForecast.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayContext.h"
#include "relay/RoomReservation.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

namespace {

/// Sends of one request, so that targets that all refuse do not share it for ever.
constexpr int MostSends = 4;
/// Part of the retries kept back from plain requests for generations that move.
constexpr double RetryReserve = 0.5;
constexpr int FirstServerFailure = 500;

AttemptFate fateOf(SendResult::Kind kind)
{
    switch (kind) {
    case SendResult::Kind::Answered:
        return AttemptFate::Answered;
    case SendResult::Kind::Broken:
    case SendResult::Kind::Spoilt:
        return AttemptFate::Broken;
    case SendResult::Kind::NotConnected:
    case SendResult::Kind::NotExecuted:
    case SendResult::Kind::Misdirected:
        break;
    }
    return AttemptFate::Ended;
}

} // namespace

void RelayRun::attemptEnded(const SendResult &result)
{
    if (m_phase == Phase::Over)
        return;
    if (m_phase == Phase::Moving) {
        m_endedWhileMoving = result;
        return;
    }
    logEvent(LogLevel::Info, EventId::RelaySendEnded,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"result", QLatin1String(sendResultName(result.kind))},
              {"status", QString::number(result.head.status)},
              {"events", QString::number(m_lastEvent)},
              {"reason", result.reason}});
    m_ran = std::max(m_ran, ranAfter(result.kind));
    if (ranAfter(result.kind) != Ran::No)
        ++m_runs;
    m_fate = fateOf(result.kind);
    judgeTarget(result);
    if (hasBegun() && goesOnAtBackup(result))
        return;
    if (hasBegun()) {
        // Where a generation goes on, the new target may answer with a failure; that answer is
        // whole, the stream is not.
        const bool isWhole = result.kind == SendResult::Kind::Answered && result.isStream;
        if (!isWhole) {
            streamLost(result.reason);
            return;
        }
        m_reply->write(m_attempt->unfinishedEvent());
        if (m_task.engine)
            m_context.outputs.finished(m_task.route.name,
                                       Tokens(m_lastEvent * m_task.engine->tokensPerEvent));
        succeed();
        return;
    }
    const TargetId target = m_target;
    leaveTarget();
    m_excluded.insert(target);
    if (tryAgain(result))
        return;
    // A stream that ends whole before its first event has nothing to pass on.
    if (result.kind == SendResult::Kind::Answered && !result.isStream)
        answered(result);
    else if (m_fallback)
        answered(*m_fallback);
    else if (m_ran == Ran::No)
        fail(ErrorKind::NoTarget, QStringLiteral("no target took the request"));
    else
        fail(ErrorKind::TargetFailed, QStringLiteral("the target did not answer whole"));
}

void RelayRun::judgeTarget(const SendResult &result)
{
    switch (result.kind) {
    case SendResult::Kind::Answered:
        if (result.head.status >= FirstServerFailure)
            m_context.targets.recordFailure(m_target, "answered with a failure");
        else
            m_context.targets.recordSuccess(m_target);
        break;
    case SendResult::Kind::NotExecuted:
        // A full target is not a broken one; the load figures speak of that.
        break;
    case SendResult::Kind::Misdirected:
        m_context.targets.markLeaving(m_target, "another target has its address");
        break;
    case SendResult::Kind::NotConnected:
    case SendResult::Kind::Broken:
    case SendResult::Kind::Spoilt:
        m_context.targets.recordFailure(m_target, sendResultName(result.kind));
        break;
    }
}

bool RelayRun::mayTryAgain(const SendResult &result) const
{
    if (m_sends >= MostSends || timeLeft().count() == 0)
        return false;
    if (ranAfter(result.kind) == Ran::No)
        return m_ran == Ran::No || m_task.route.kind == RequestKind::Idempotent;
    const bool isFailure =
        result.kind != SendResult::Kind::Answered || result.head.status >= FirstServerFailure;
    return isFailure && m_task.route.kind == RequestKind::Idempotent
        && m_runs < m_task.route.mostTargets;
}

bool RelayRun::tryAgain(const SendResult &result)
{
    if (!mayTryAgain(result))
        return false;
    if (!m_context.retries.take(m_task.service, m_context.timers.now(),
                                isStream() ? 0 : RetryReserve))
        return false;
    if (result.kind == SendResult::Kind::Answered)
        m_fallback = result;
    // A service's failures are often of the moment: without another target the same one is asked
    // again. One that says that it is full is not.
    const bool isAlone = m_context.targets.takingWork(m_task.service).size() == 1;
    if (isAlone && ranAfter(result.kind) != Ran::No)
        m_excluded.clear();
    ++m_context.counters.of(m_task.route.kind).retried;
    logEvent(LogLevel::Info, EventId::RelayRetried,
             {{"request", m_task.request.id.text()},
              {"after", QLatin1String(sendResultName(result.kind))},
              {"sends", QString::number(m_sends)}});
    place();
    return true;
}

void RelayRun::silentTooLong()
{
    if (m_phase != Phase::Sent)
        return;
    SendResult silence;
    silence.reason = QStringLiteral("silent");
    // Without another target to go to, a late answer is better than none.
    const bool canMove = m_context.targets.takingWork(m_task.service).size() > 1;
    if (!canMove || m_runs + 1 >= m_task.route.mostTargets)
        return;
    attemptEnded(silence);
}

} // namespace cranberry
