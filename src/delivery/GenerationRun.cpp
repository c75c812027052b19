#include "delivery/GenerationRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/ClaimService.h"
#include "delivery/DeliveryContext.h"
#include "delivery/TargetCancels.h"
#include "delivery/TargetDemand.h"
#include "delivery/TargetRequests.h"
#include "delivery/TargetStream.h"
#include "http/HttpRequest.h"

#include <QUuid>

namespace cranberry {

namespace {

/// Consecutive parallel resumes without a response after which the target is given up.
constexpr int MaxUnansweredResumes = 4;

AttemptId newAttemptId()
{
    return AttemptId(QUuid::createUuid().toString(QUuid::WithoutBraces));
}

} // namespace

GenerationRun::GenerationRun(DeliveryContext &context, GenerationRequest request,
                             EndedCallback onEnded, ClaimHeldCallback onClaimHeld)
    : m_context(context)
    , m_request(std::move(request))
    , m_claim(context.claims, m_request.claimKey, m_request.fingerprint)
    , m_onEnded(std::move(onEnded))
    , m_onClaimHeld(std::move(onClaimHeld))
{
}

GenerationRun::~GenerationRun() = default;

void GenerationRun::start()
{
    const MonotonicTime now = m_context.timers.now();
    const auto remaining = std::chrono::duration_cast<Milliseconds>(m_request.deadline - now);
    m_deadlineTimer =
        m_context.timers.after(std::max(remaining, Milliseconds(0)), [this] { deadlinePassed(); });
    acquireTarget();
}

void GenerationRun::attach(const std::shared_ptr<AnswerSink> &sink)
{
    const std::shared_ptr<GenerationRun> alive = shared_from_this();
    for (const TokenEvent &event : std::as_const(m_events))
        sink->deliver(event);
    if (m_failure)
        sink->failed(*m_failure);
    else if (m_sequence.complete)
        sink->finished();
    else
        m_sinks.append(sink);
}

void GenerationRun::detach(const AnswerSink *sink)
{
    m_sinks.removeIf([sink](const std::shared_ptr<AnswerSink> &s) { return s.get() == sink; });
    if (!m_request.atMostOnce)
        cancelIfAbandoned();
}

void GenerationRun::cancelIfAbandoned()
{
    if (m_hasEnded || !m_sinks.isEmpty())
        return;
    const std::shared_ptr<GenerationRun> alive = shared_from_this();
    cancelAtTarget();
    fail({ErrorKind::GenerationLost,
          ranSoFar(),
          QStringLiteral("cancelled: the caller disconnected"),
          {},
          {}});
}

void GenerationRun::acquireTarget()
{
    m_attempt = newAttemptId();
    m_target = TargetId();
    m_sent = false;
    m_answerBegan = false;
    m_resumesWithoutEvent = 0;
    m_isTargetUnreachable = false;
    m_unansweredResumes = 0;
    m_isAcquiring = true;
    TargetDemand demand;
    demand.fingerprint = m_request.crashFingerprint;
    AdmissionRequest &admission = demand.admission;
    admission.placement.request = m_request.id;
    admission.placement.service = m_request.service;
    admission.placement.model = m_request.model;
    admission.placement.workspace = m_request.workspace;
    admission.placement.promptTokens = m_request.promptTokens;
    admission.placement.maxTokens = m_request.maxTokens;
    admission.placement.prefixHash = m_request.prefixHash;
    admission.placement.excluded = m_excludedTargets;
    admission.attempt = m_attempt;
    admission.deadline = m_request.deadline;
    admission.priority = m_request.priority;
    admission.retry = m_isRetry;
    m_context.targets.acquire(
        demand, [weak = weak_from_this()](const Result<TargetAssignment> &assignment) {
            if (const auto self = weak.lock())
                self->targetAcquired(assignment);
        });
}

void GenerationRun::targetAcquired(const Result<TargetAssignment> &assignment)
{
    m_isAcquiring = false;
    if (m_hasEnded)
        return;
    if (!assignment) {
        fail(assignment.error());
        return;
    }
    m_target = assignment.value().target;
    m_endpoint = assignment.value().endpoint;
    m_incarnation = assignment.value().incarnation;
    if (m_request.atMostOnce && !m_claim.isHeld())
        claimAndSend();
    else
        send();
}

void GenerationRun::claimAndSend()
{
    m_claim.acquire(m_attempt, [weak = weak_from_this()](const Result<ClaimDecision> &decision) {
        if (const auto self = weak.lock())
            self->claimDecided(decision);
    });
}

void GenerationRun::claimDecided(const Result<ClaimDecision> &decision)
{
    if (!decision) {
        endAttempt(AttemptOutcome::Cancelled);
        fail(decision.error());
        return;
    }
    if (!m_claim.isHeld()) {
        endAttempt(AttemptOutcome::Cancelled);
        const std::shared_ptr<GenerationRun> alive = shared_from_this();
        const ClaimHeldCallback onClaimHeld = std::move(m_onClaimHeld);
        onClaimHeld(decision.value());
        endRun();
        return;
    }
    send();
}

void GenerationRun::send()
{
    logEvent(LogLevel::Info, EventId::AttemptSent,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"target", m_target.text()}});
    ++m_context.counters.attemptsSent;
    m_sent = true;
    m_lastEventTime = m_context.timers.now();
    m_stream = openStream(false);
    startStallTimer();
}

GenerationRun::NumberedStream GenerationRun::openStream(bool isResume)
{
    const quint64 number = ++m_streamCount;
    TargetStreamCallbacks callbacks;
    callbacks.answerBegan = [this] {
        m_answerBegan = true;
        m_unansweredResumes = 0;
    };
    callbacks.event = [this, number](const TokenEvent &event) {
        const std::shared_ptr<GenerationRun> alive = shared_from_this();
        streamEvent(event, number);
    };
    callbacks.ended = [this, number](std::optional<SendFailure> failure, int status,
                                     const QString &reason) {
        const std::shared_ptr<GenerationRun> alive = shared_from_this();
        streamEnded(failure, status, reason, number);
    };
    const HttpRequest request =
        isResume ? resumeRequest(m_attempt, m_sequence.next) : attemptRequest(m_request, m_attempt);
    return {number, isResume,
            std::make_unique<TargetStream>(m_context.client, m_endpoint, request, m_attempt,
                                           std::move(callbacks))};
}

bool GenerationRun::isParallelResume(quint64 stream) const
{
    return m_parallelResume.stream && m_parallelResume.number == stream;
}

void GenerationRun::streamEvent(const TokenEvent &event, quint64 stream)
{
    if (m_hasEnded)
        return;
    const bool ownAttempt = event.attempt == m_attempt;
    const TokenVerdict verdict = ownAttempt
        ? acceptToken(m_sequence, event.attempt, event.index, event.isLast())
        : TokenVerdict::OtherGeneration;
    if (verdict != TokenVerdict::Deliver) {
        ++m_context.counters.tokensDropped;
        logEvent(LogLevel::Debug, EventId::StreamDropped,
                 {{"request", m_request.id.text()}, {"index", QString::number(event.index)}});
        // No event after a gap can be delivered from this stream; a resume fetches the missing
        // ones.
        if (verdict == TokenVerdict::Gap && !isParallelResume(stream))
            openParallelResume();
        return;
    }
    // A stalled connection may recover while its resume is open. The stream that first delivers
    // the next event is kept and the other one is closed.
    if (isParallelResume(stream))
        m_stream = std::move(m_parallelResume);
    m_parallelResume = {};
    deliver(event);
}

void GenerationRun::deliver(const TokenEvent &event)
{
    const MonotonicTime now = m_context.timers.now();
    if (m_sequence.next > 1)
        recordGap(m_context.gaps, std::chrono::duration_cast<Milliseconds>(now - m_lastEventTime));
    m_lastEventTime = now;
    m_resumesWithoutEvent = 0;
    ++m_context.counters.tokensDelivered;
    m_context.targets.tokenReceived(m_attempt);
    if (m_request.atMostOnce) {
        m_events.append(event);
        m_bufferedBytes += event.data.size();
    }
    const QList<std::shared_ptr<AnswerSink>> sinks = m_sinks;
    for (const std::shared_ptr<AnswerSink> &sink : sinks)
        sink->deliver(event);
    if (m_hasEnded)
        return;
    if (m_sequence.complete)
        finish();
    else
        startStallTimer();
}

void GenerationRun::startStallTimer()
{
    startStallTimer(m_sequence.next > 0 ? stallThreshold(m_context.gaps, m_context.stallLimits)
                                        : m_context.stallLimits.maxSilence);
}

void GenerationRun::startStallTimer(Milliseconds silence)
{
    m_stallTimer = m_context.timers.after(silence, [this] { openParallelResume(); });
}

void GenerationRun::openParallelResume()
{
    // A connection can stall without being closed: neither side sees an error and the caller
    // would wait until its deadline. A resume on a new connection fetches the events that the
    // target has generated. That connection may stall too, so a silent resume is replaced by
    // another one.
    if (m_hasEnded || m_target.isEmpty())
        return;
    if (m_unansweredResumes >= MaxUnansweredResumes) {
        resumesExhausted();
        return;
    }
    ++m_unansweredResumes;
    ++m_context.counters.resumes;
    logEvent(LogLevel::Info, EventId::StreamResumed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"from", QString::number(m_sequence.next)}});
    m_parallelResume = openStream(true);
    startStallTimer(m_context.stallLimits.maxSilence);
}

void GenerationRun::deadlinePassed()
{
    const std::shared_ptr<GenerationRun> alive = shared_from_this();
    if (m_hasEnded)
        return;
    cancelAtTarget();
    fail({ErrorKind::DeadlineExceeded,
          ranSoFar(),
          QStringLiteral("the deadline passed before the answer was complete"),
          {},
          {}});
}

Ran GenerationRun::ranSoFar() const
{
    if (m_sequence.next > 0 || m_answerBegan)
        return Ran::Yes;
    return m_sent ? Ran::Maybe : Ran::No;
}

void GenerationRun::cancelAtTarget()
{
    if (m_isAcquiring)
        m_context.targets.withdraw(m_request.id);
    if (!m_sent)
        return;
    logEvent(LogLevel::Info, EventId::AttemptCancelled,
             {{"request", m_request.id.text()}, {"attempt", m_attempt.text()}});
    m_context.cancels.cancel(m_endpoint, m_attempt, m_incarnation, [](CancelOutcome) {});
}

void GenerationRun::endAttempt(AttemptOutcome outcome)
{
    m_stream = {};
    m_parallelResume = {};
    m_stallTimer.reset();
    m_resumeTimer.reset();
    if (!m_target.isEmpty())
        m_context.targets.attemptEnded(m_attempt, m_target, outcome);
    m_target = TargetId();
}

void GenerationRun::finish()
{
    endAttempt(AttemptOutcome::Finished);
    const QList<std::shared_ptr<AnswerSink>> sinks = std::exchange(m_sinks, {});
    for (const std::shared_ptr<AnswerSink> &sink : sinks)
        sink->finished();
    endRun();
}

void GenerationRun::fail(Error error)
{
    endAttempt(AttemptOutcome::Cancelled);
    // An idempotent request may be refused after an earlier attempt has run. Ran::No would then
    // be wrong for the request as a whole.
    error.ran = std::max(error.ran, m_ranInEarlierAttempts);
    m_failure = error;
    if (error.ran == Ran::No)
        m_claim.release();
    const QList<std::shared_ptr<AnswerSink>> sinks = std::exchange(m_sinks, {});
    for (const std::shared_ptr<AnswerSink> &sink : sinks)
        sink->failed(error);
    endRun();
}

void GenerationRun::endRun()
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_claim.abandon();
    m_deadlineTimer.reset();
    m_context.targets.requestEnded(m_request.id);
    const EndedCallback onEnded = std::move(m_onEnded);
    if (onEnded)
        onEnded(*this);
}

} // namespace cranberry
