#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/ForwardedExchange.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/OutputForecast.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/RelayContext.h"
#include "relay/RelayCounters.h"
#include "relay/RoomReservation.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

namespace {

/// Limit of attempts for one request, so that it is not passed between refusing targets
/// indefinitely.
constexpr int MaxSends = 4;

} // namespace

void RelayRun::attemptEnded(const SendResult &received)
{
    if (m_phase == Phase::Over)
        return;
    if (m_phase == Phase::Moving) {
        m_deferredResult = received;
        return;
    }
    const SendResult result = m_mayBeStopped ? afterStopOrder(received) : received;
    m_context.counters.countAnswerEnd(result.framing, result.end);
    logEvent(LogLevel::Info, EventId::RelaySendEnded,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"result", QLatin1String(sendResultName(result.kind))},
              {"status", QString::number(result.head.status)},
              {"events", QString::number(m_lastEvent)},
              {"framing", QLatin1String(bodyFramingName(result.framing))},
              {"answer_end", QLatin1String(answerEndName(result.end))},
              {"names_request", QLatin1String(result.head.namesRequest ? "yes" : "no")},
              {"sealed", QLatin1String(result.head.isSealed ? "yes" : "no")},
              {"skipped", QString::number(result.skippedResponses)},
              {"connection", QString::number(result.connection.number)},
              {"exchanges", QString::number(result.connection.earlierExchanges)},
              {"connection_ms",
               QString::number(ageOf(result.connection, m_context.timers.now()).count())},
              {"reason", result.reason}});
    m_ran = std::max(m_ran, ranAfter(result.kind));
    if (ranAfter(result.kind) != Ran::No)
        ++m_possibleRuns;
    if (result.kind != SendResult::Kind::NotConnected && result.kind != SendResult::Kind::Withheld)
        ++m_arrivals;
    m_attemptEnd = attemptEndOf(result);
    updateTargetHealth(result);
    recordSpeed(result);
    if (hasBegun() && continueAtBackup(result))
        return;
    if (hasBegun()) {
        if (!isWholeStream(result)) {
            failStream(result.reason);
            return;
        }
        m_reply->write(m_attempt->trailingBytes());
        if (m_task.engine)
            m_context.outputForecast.recordAnswer(
                m_task.route.name, Tokens(m_lastEvent * m_task.engine->tokensPerEvent));
        succeed();
        return;
    }
    const TargetId target = m_target;
    leaveTarget();
    // A paused target may be tried again after its pause.
    if (!m_context.availability.isPaused(target))
        m_excluded.insert(target);
    if (!tryRetry(result))
        giveUp(result);
}

void RelayRun::giveUp(const SendResult &result)
{
    // A stream that ends before its first event contains nothing to forward.
    if (result.kind == SendResult::Kind::Answered && !result.isStream)
        forwardAnswer(result);
    else if (m_fallback)
        forwardAnswer(*m_fallback);
    else if (m_ran == Ran::No)
        fail(ErrorKind::NoTarget, QStringLiteral("no target accepted the request"));
    else
        fail(ErrorKind::TargetFailed, QStringLiteral("the target did not complete its answer"));
}

void RelayRun::updateTargetHealth(const SendResult &result)
{
    switch (result.kind) {
    case SendResult::Kind::Answered:
        if (result.head.status >= FirstServerFailure)
            m_context.targets.recordFailure(m_target, "returned a server error");
        else
            m_context.targets.recordSuccess(m_target);
        break;
    case SendResult::Kind::Withheld:
        break;
    case SendResult::Kind::NotExecuted:
        m_context.targets.recordRejection(m_target);
        break;
    case SendResult::Kind::Misdirected:
        m_context.targets.markLeaving(m_target, "its address belongs to another target");
        break;
    case SendResult::Kind::NotConnected:
    case SendResult::Kind::Broken:
    case SendResult::Kind::Invalid:
        m_context.targets.recordFailure(m_target, sendResultName(result.kind));
        break;
    }
}

bool RelayRun::canRetry(const SendResult &result) const
{
    if (m_sends >= MaxSends || timeLeft().count() == 0)
        return false;
    if (ranAfter(result.kind) == Ran::No)
        return m_ran == Ran::No || m_task.route.kind == RequestKind::Idempotent;
    const bool isFailure =
        result.kind != SendResult::Kind::Answered || result.head.status >= FirstServerFailure;
    return isFailure && m_task.route.kind == RequestKind::Idempotent
        && m_possibleRuns < m_task.route.maxAttempts;
}

bool RelayRun::takeRetry(const char *name, RetryPurpose purpose)
{
    returnRetry();
    const RetryDecision decision =
        m_context.retryBudget.take(m_task.service, m_context.timers.now(), purpose);
    m_retryUnit = decision.unit;
    const bool isGranted = m_retryUnit.has_value();
    isGranted ? ++m_context.counters.retriesGranted : ++m_context.counters.retriesRefused;
    logEvent(
        LogLevel::Info, isGranted ? EventId::RetryGranted : EventId::RetryRefused,
        {{"request", m_task.request.id.text()},
         {"service", m_task.service.text()},
         {"purpose", QLatin1String(name)},
         {"source",
          isGranted ? QLatin1String(retrySourceName(m_retryUnit->source)) : QLatin1String("none")},
         {"earned", QString::number(decision.earned)},
         {"borrowed", QString::number(decision.borrowed)},
         {"unused_share", QString::number(decision.unusedShare)},
         {"share", QString::number(decision.share)},
         {"daemons", QString::number(decision.daemons)},
         {"share_in_ms", QString::number(decision.untilShare.count())}});
    return isGranted;
}

bool RelayRun::spendRetry()
{
    if (m_sends == 0)
        return true;
    const auto unit = std::exchange(m_retryUnit, std::nullopt);
    if (unit && m_context.retryBudget.spend(m_task.service, *unit, m_context.timers.now()))
        return true;
    // It waited for a target for longer than the unit was valid.
    if (!takeRetry("late_retry", retryPurpose()))
        return false;
    m_retryUnit.reset();
    return true;
}

void RelayRun::returnRetry()
{
    if (const auto unit = std::exchange(m_retryUnit, std::nullopt))
        m_context.retryBudget.giveBack(m_task.service, *unit, m_context.timers.now());
}

RetryPurpose RelayRun::retryPurpose() const
{
    return isStream() ? RetryPurpose::GenerationRetry : RetryPurpose::PlainRetry;
}

bool RelayRun::tryRetry(const SendResult &result)
{
    if (!canRetry(result))
        return false;
    // The budget limits what targets receive.
    const bool isFree = m_arrivals == 0 && shouldForward();
    if (!isFree && !takeRetry("retry", retryPurpose()))
        return false;
    if (result.kind == SendResult::Kind::Answered)
        m_fallback = result;
    // Failures of a service are often temporary, so that the request is retried at the same target
    // if there is no other. A target that refused the request is not asked again.
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

void RelayRun::silenceTimedOut()
{
    // Another attempt could not be answered in time, while this one still may be.
    if (outlastsShutdown())
        return;
    if (m_phase == Phase::Forwarded) {
        ForwardResult silent;
        silent.reason = QStringLiteral("silent");
        forwardEnded(silent);
        return;
    }
    if (m_phase != Phase::Sent)
        return;
    SendResult silence;
    silence.reason = QStringLiteral("silent");
    // Without another target, a late answer is better than none.
    const bool canMove = m_context.targets.takingWork(m_task.service).size() > 1;
    if (!canMove || m_possibleRuns + 1 >= m_task.route.maxAttempts)
        return;
    attemptEnded(silence);
}

} // namespace cranberry
