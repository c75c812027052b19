// What a GenerationRun does when a send or a resume has failed.
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/DeliveryContext.h"
#include "delivery/GenerationRun.h"
#include "delivery/TargetCancels.h"
#include "delivery/TargetStream.h"

namespace cranberry {

namespace {

/// Resumes in a row that bring no event before the generation counts as lost.
constexpr int ResumeTries = 4;
constexpr Milliseconds ResumeDelay{150};
constexpr int StatusNotFound = 404;

/// Whether a target's answer @p status blames the request and not the target.
bool isFaultOfRequest(int status)
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
    if (m_over)
        return;
    if (isBeside(stream)) {
        besideEnded(status);
        return;
    }
    if (m_beside.stream) {
        m_stream = std::move(m_beside);
        m_beside = {};
        return;
    }
    const bool isResume = m_stream.isResume;
    m_stream = {};
    m_stallTimer.reset();
    if (status == StatusNotFound && m_sequence.next > 0) {
        giveUp(SendFailure::BrokenAfterStart, QStringLiteral("the target forgot the generation"));
        return;
    }
    sendFailed(failure.value_or(SendFailure::BrokenAfterStart), status, isResume, reason);
}

void GenerationRun::besideEnded(int status)
{
    m_beside = {};
    if (status != StatusNotFound) {
        // A resume that fails says nothing of the silent stream beside it.
        watchForStall();
        return;
    }
    const QString reason = QStringLiteral("the target does not know the generation");
    if (m_sequence.next > 0) {
        giveUp(SendFailure::BrokenAfterStart, reason);
        return;
    }
    // The request was lost on a link that stalled, or the target has started anew since: the
    // silent stream will never bring anything and the caller would wait to its deadline. A
    // cancel settles which, and keeps a request that is still on its way from starting.
    m_stream = {};
    m_stallTimer.reset();
    settleByCancel(SendFailure::BrokenBeforeAnswer, StatusNotFound, reason);
}

void GenerationRun::sendFailed(SendFailure failure, int status, bool isResume,
                               const QString &reason)
{
    logEvent(LogLevel::Warning, EventId::AttemptFailed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"target", m_target.text()},
              {"failure", QLatin1String(sendFailureName(failure))},
              {"reason", reason}});
    // Of a resume that failed nothing follows for the send before it.
    const bool mayHaveBegun = m_began || m_sequence.next > 0 || isResume;
    const bool neverStarted = ranAfter(failure) == Ran::No && !mayHaveBegun;
    if (neverStarted) {
        retryElsewhere(failure, reason);
        return;
    }
    const bool connectionFailed = failure == SendFailure::BrokenAfterStart
        || failure == SendFailure::BrokenBeforeAnswer || failure == SendFailure::NotConnected;
    if (connectionFailed && m_resumeTries < ResumeTries) {
        resumeLater();
        return;
    }
    if (m_sequence.next > 0) {
        giveUp(SendFailure::BrokenAfterStart, reason);
        return;
    }
    settleByCancel(failure, status, reason);
}

void GenerationRun::resumeLater()
{
    ++m_resumeTries;
    ++m_context.counters.resumes;
    logEvent(LogLevel::Info, EventId::StreamResumed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"from", QString::number(m_sequence.next)}});
    m_resumeTimer = m_context.timers.after(ResumeDelay * (m_resumeTries - 1), [this] {
        if (m_over)
            return;
        m_stream = openStream(true);
        watchForStall();
    });
}

void GenerationRun::targetUnreachable()
{
    // A target behind a partition neither closes the silent stream nor takes a resume: the
    // caller would wait to its deadline. One that is merely slow begins to answer a resume.
    const QString reason = QStringLiteral("silent, and no resume came through");
    m_stream = {};
    m_beside = {};
    m_stallTimer.reset();
    if (m_sequence.next > 0)
        giveUp(SendFailure::BrokenAfterStart, reason);
    else
        settleByCancel(SendFailure::BrokenBeforeAnswer, 0, reason);
}

void GenerationRun::settleByCancel(SendFailure failure, int status, const QString &reason)
{
    // Only the target can say whether a send whose answer was lost has run. Until it has been
    // told to cancel, a second send could run beside the first.
    m_context.cancels.cancel(
        m_endpoint, m_attempt, m_incarnation,
        [weak = weak_from_this(), failure, status, reason](CancelOutcome outcome) {
            const auto self = weak.lock();
            if (self && !self->m_over)
                self->settled(outcome, failure, status, reason);
        });
}

void GenerationRun::settled(CancelOutcome outcome, SendFailure failure, int status,
                            const QString &reason)
{
    if (failure == SendFailure::ErrorAnswer && isFaultOfRequest(status)) {
        // Every other target would say the same of this request.
        const Ran ran = outcome == CancelOutcome::NotStarted ? Ran::No : ranAfter(failure);
        giveUpAs(ErrorKind::TargetRefused, ran, failure, reason);
        return;
    }
    if (outcome == CancelOutcome::NotStarted) {
        retryElsewhere(SendFailure::CancelledBeforeStart, reason);
        return;
    }
    // What failed last may be a resume that did not connect, which alone would pass for "not
    // run"; the send before it did leave, and nobody vouches that it did not start.
    SendFailure known = failure;
    if (outcome == CancelOutcome::Started)
        known = SendFailure::CancelledAfterStart;
    else if (ranAfter(failure) == Ran::No)
        known = SendFailure::BrokenBeforeAnswer;
    if (m_request.atMostOnce)
        giveUp(known, reason);
    else
        retryElsewhere(known, reason, failure == SendFailure::NotConnected);
}

void GenerationRun::retryElsewhere(SendFailure failure, const QString &reason, bool targetIsGone)
{
    const TargetId failed = m_target;
    m_ranBefore = std::max(m_ranBefore, ranAfter(failure));
    dropStreams(outcomeAfter(failure));
    // Neither a send of which no byte left nor one to a target that takes no connection any more
    // burdens a target further, and each target is excluded after it: only sends beside living
    // targets' work are taken from the budget. What may be said of "ran" does not depend on it.
    const bool isFree = targetIsGone || failure == SendFailure::NotConnected;
    if (!isFree && !m_context.targets.takeRetry(m_request.workspace, failed)) {
        giveUp(failure, reason);
        return;
    }
    ++m_context.counters.retries;
    logEvent(LogLevel::Info, EventId::AttemptRetried,
             {{"request", m_request.id.text()}, {"after", failed.text()}});
    m_excluded.insert(failed);
    m_isRetry = true;
    acquireTarget();
}

void GenerationRun::giveUp(SendFailure failure, const QString &reason)
{
    if (m_sequence.next > 0) {
        ++m_context.counters.generationsLost;
        giveUpAs(ErrorKind::GenerationLost, Ran::Yes, failure, reason);
        return;
    }
    const Ran ran = ranAfter(failure);
    ErrorKind kind = ran == Ran::No ? ErrorKind::NoTarget : ErrorKind::TargetFailed;
    if (failure == SendFailure::ErrorAnswer)
        kind = ErrorKind::TargetRefused;
    giveUpAs(kind, ran, failure, reason);
}

void GenerationRun::giveUpAs(ErrorKind kind, Ran ran, SendFailure failure, const QString &reason)
{
    Error error;
    error.kind = kind;
    error.ran = ran;
    error.detail = QStringLiteral("%1: %2").arg(QLatin1String(sendFailureName(failure)), reason);
    dropStreams(outcomeAfter(failure));
    fail(error);
}

} // namespace cranberry
