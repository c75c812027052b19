#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/DeliveryContext.h"
#include "delivery/GenerationRun.h"
#include "delivery/TargetCancels.h"
#include "delivery/TargetStream.h"

namespace cranberry {

namespace {

/// Consecutive resumes without an event after which the generation counts as lost.
constexpr int MaxResumesWithoutEvent = 4;
constexpr Milliseconds ResumeBackoffStep{150};
constexpr int StatusNotFound = 404;

/// Whether @p status reports a fault of the request, which every target would report.
bool isInvalidRequestStatus(int status)
{
    constexpr int BadRequest = 400;
    constexpr int TooLarge = 413;
    constexpr int Unprocessable = 422;
    return status == BadRequest || status == TooLarge || status == Unprocessable;
}

} // namespace

void GenerationRun::streamEnded(std::optional<SendFailure> failure, int status,
                                const QString &reason, quint64 stream)
{
    if (m_hasEnded)
        return;
    if (isParallelResume(stream)) {
        parallelResumeEnded(status);
        return;
    }
    if (m_parallelResume.stream) {
        m_stream = std::move(m_parallelResume);
        m_parallelResume = {};
        return;
    }
    const bool isResume = m_stream.isResume;
    m_stream = {};
    m_stallTimer.reset();
    if (status == StatusNotFound && m_sequence.next > 0) {
        failAfter(SendFailure::BrokenAfterStart,
                  QStringLiteral("the target no longer has the generation"));
        return;
    }
    handleSendFailure(failure.value_or(SendFailure::BrokenAfterStart), status, isResume, reason);
}

void GenerationRun::parallelResumeEnded(int status)
{
    m_parallelResume = {};
    if (status != StatusNotFound) {
        // A failed resume says nothing about the silent stream, which stays open.
        startStallTimer();
        return;
    }
    const QString reason = QStringLiteral("the target does not know the generation");
    if (m_sequence.next > 0) {
        failAfter(SendFailure::BrokenAfterStart, reason);
        return;
    }
    // The request was lost on a stalled connection, or the target has restarted since. The
    // silent stream will deliver nothing and the caller would wait until its deadline. A cancel
    // finds out which of the two it is, and prevents a request in flight from starting.
    m_stream = {};
    m_stallTimer.reset();
    cancelAndResolve(SendFailure::BrokenBeforeAnswer, StatusNotFound, reason);
}

void GenerationRun::handleSendFailure(SendFailure failure, int status, bool isResume,
                                      const QString &reason)
{
    logEvent(LogLevel::Warning, EventId::AttemptFailed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"target", m_target.text()},
              {"failure", QLatin1String(sendFailureName(failure))},
              {"reason", reason}});
    // A failed resume does not show whether the preceding send has started.
    const bool mayHaveStarted = m_answerBegan || m_sequence.next > 0 || isResume;
    const bool neverStarted = ranAfter(failure) == Ran::No && !mayHaveStarted;
    if (neverStarted) {
        retryOnOtherTarget(failure, reason);
        return;
    }
    const bool connectionFailed = failure == SendFailure::BrokenAfterStart
        || failure == SendFailure::BrokenBeforeAnswer || failure == SendFailure::NotConnected;
    if (connectionFailed && m_resumesWithoutEvent < MaxResumesWithoutEvent) {
        scheduleResume();
        return;
    }
    if (m_sequence.next > 0) {
        failAfter(SendFailure::BrokenAfterStart, reason);
        return;
    }
    cancelAndResolve(failure, status, reason);
}

void GenerationRun::scheduleResume()
{
    ++m_resumesWithoutEvent;
    ++m_context.counters.resumes;
    logEvent(LogLevel::Info, EventId::StreamResumed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"from", QString::number(m_sequence.next)}});
    m_resumeTimer = m_context.timers.after(ResumeBackoffStep * (m_resumesWithoutEvent - 1), [this] {
        if (m_hasEnded)
            return;
        m_stream = openStream(true);
        startStallTimer();
    });
}

void GenerationRun::resumesExhausted()
{
    // A target behind a network partition neither closes the silent stream nor answers a
    // resume, and the caller would wait until its deadline. A target that is only slow starts
    // to answer a resume.
    const QString reason = QStringLiteral("the stream is silent and the target answered no resume");
    m_stream = {};
    m_parallelResume = {};
    m_stallTimer.reset();
    if (m_sequence.next > 0)
        failAfter(SendFailure::BrokenAfterStart, reason);
    else
        cancelAndResolve(SendFailure::BrokenBeforeAnswer, 0, reason);
}

void GenerationRun::cancelAndResolve(SendFailure failure, int status, const QString &reason)
{
    // Only the target knows whether a send whose answer was lost has run. Until the target has
    // received a cancel, a second send could run concurrently with the first.
    m_context.cancels.cancel(
        m_endpoint, m_attempt, m_incarnation,
        [weak = weak_from_this(), failure, status, reason](CancelOutcome outcome) {
            const auto self = weak.lock();
            if (self && !self->m_hasEnded)
                self->cancelAnswered(outcome, failure, status, reason);
        });
}

void GenerationRun::cancelAnswered(CancelOutcome outcome, SendFailure failure, int status,
                                   const QString &reason)
{
    if (failure == SendFailure::ErrorAnswer && isInvalidRequestStatus(status)) {
        // Every other target would reject this request as well.
        const Ran ran = outcome == CancelOutcome::NotStarted ? Ran::No : ranAfter(failure);
        failAs(ErrorKind::TargetRefused, ran, failure, reason);
        return;
    }
    if (outcome == CancelOutcome::NotStarted) {
        retryOnOtherTarget(SendFailure::CancelledBeforeStart, reason);
        return;
    }
    // The last failure may be a resume that did not connect, which on its own would mean "not
    // run". The preceding send did reach the network and may have started.
    SendFailure reported = failure;
    if (outcome == CancelOutcome::Started)
        reported = SendFailure::CancelledAfterStart;
    else if (ranAfter(failure) == Ran::No)
        reported = SendFailure::BrokenBeforeAnswer;
    m_isTargetUnreachable =
        outcome == CancelOutcome::NoAnswer && failure == SendFailure::NotConnected;
    if (m_request.atMostOnce)
        failAfter(reported, reason);
    else
        retryOnOtherTarget(reported, reason);
}

void GenerationRun::retryOnOtherTarget(SendFailure failure, const QString &reason)
{
    const TargetId failedTarget = m_target;
    m_ranInEarlierAttempts = std::max(m_ranInEarlierAttempts, ranAfter(failure));
    endAttempt(outcomeAfter(failure));
    // The budget prevents retries from doubling the load. A send of which no byte left put no
    // load on the target, and an unreachable target carries none any longer. Each can happen
    // only once per target, since the target is excluded from now on.
    const bool skipsRetryBudget = failure == SendFailure::NotConnected || m_isTargetUnreachable;
    if (!skipsRetryBudget && !m_context.targets.takeRetry(m_request.workspace, failedTarget)) {
        failAfter(failure, reason);
        return;
    }
    ++m_context.counters.retries;
    logEvent(LogLevel::Info, EventId::AttemptRetried,
             {{"request", m_request.id.text()}, {"after", failedTarget.text()}});
    m_excludedTargets.insert(failedTarget);
    m_isRetry = true;
    acquireTarget();
}

void GenerationRun::failAfter(SendFailure failure, const QString &reason)
{
    if (m_sequence.next > 0) {
        ++m_context.counters.generationsLost;
        failAs(ErrorKind::GenerationLost, Ran::Yes, failure, reason);
        return;
    }
    const Ran ran = ranAfter(failure);
    ErrorKind kind = ran == Ran::No ? ErrorKind::NoTarget : ErrorKind::TargetFailed;
    if (failure == SendFailure::ErrorAnswer)
        kind = ErrorKind::TargetRefused;
    failAs(kind, ran, failure, reason);
}

void GenerationRun::failAs(ErrorKind kind, Ran ran, SendFailure failure, const QString &reason)
{
    Error error;
    error.kind = kind;
    error.ran = ran;
    error.detail = QStringLiteral("%1: %2").arg(QLatin1String(sendFailureName(failure)), reason);
    endAttempt(outcomeAfter(failure));
    fail(error);
}

} // namespace cranberry
