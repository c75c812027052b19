#include "delivery/PlainRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/ClaimService.h"
#include "delivery/DeliveryContext.h"
#include "delivery/TargetDemand.h"
#include "http/HttpClient.h"

#include <QUuid>

namespace cranberry {

PlainRun::PlainRun(DeliveryContext &context, PlainRequest request, Callback callback)
    : m_context(context)
    , m_request(std::move(request))
    , m_claim(context.claims, m_request.claimKey, m_request.fingerprint)
    , m_callback(std::move(callback))
{
}

PlainRun::~PlainRun() = default;

void PlainRun::start()
{
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(m_request.deadline - m_context.timers.now());
    m_deadlineTimer = m_context.timers.after(std::max(remaining, Milliseconds(0)), [this] {
        const std::shared_ptr<PlainRun> alive = shared_from_this();
        fail({ErrorKind::DeadlineExceeded,
              m_sent ? Ran::Maybe : Ran::No,
              QStringLiteral("the deadline passed before the target answered"),
              {},
              {}});
    });
    acquireTarget();
}

void PlainRun::acquireTarget()
{
    m_attempt = AttemptId(QUuid::createUuid().toString(QUuid::WithoutBraces));
    m_sent = false;
    TargetDemand demand;
    demand.fingerprint = m_request.crashFingerprint;
    AdmissionRequest &admission = demand.admission;
    admission.placement.request = m_request.id;
    admission.placement.service = m_request.service;
    admission.placement.workspace = m_request.workspace;
    admission.placement.excluded = m_excludedTargets;
    admission.attempt = m_attempt;
    admission.deadline = m_request.deadline;
    admission.retry = m_isRetry;
    m_context.targets.acquire(
        demand, [weak = weak_from_this()](const Result<TargetAssignment> &assignment) {
            if (const auto self = weak.lock())
                self->targetAcquired(assignment);
        });
}

void PlainRun::targetAcquired(const Result<TargetAssignment> &assignment)
{
    if (m_hasEnded)
        return;
    if (!assignment) {
        fail(assignment.error());
        return;
    }
    m_target = assignment.value().target;
    m_endpoint = assignment.value().endpoint;
    if (!m_request.atMostOnce || m_claim.isHeld()) {
        send();
        return;
    }
    m_claim.acquire(m_attempt, [weak = weak_from_this()](const Result<ClaimDecision> &decision) {
        if (const auto self = weak.lock())
            self->claimDecided(decision);
    });
}

void PlainRun::claimDecided(const Result<ClaimDecision> &decision)
{
    if (!decision) {
        fail(decision.error());
        return;
    }
    if (!m_claim.isHeld()) {
        const bool isSameRequest = decision.value().holderFingerprint == m_request.fingerprint;
        fail(isSameRequest
                 ? Error{ErrorKind::OutcomeUnknown,
                         Ran::Maybe,
                         QStringLiteral("an earlier call used this key; its answer is not stored"),
                         {},
                         {}}
                 : Error{
                     ErrorKind::IdempotencyKeyReused,
                     Ran::No,
                     QStringLiteral("the key was already used for a call with different content"),
                     QStringLiteral("Idempotency-Key"),
                     {}});
        return;
    }
    send();
}

void PlainRun::send()
{
    HttpRequest request = m_request.upstream;
    request.headers.add("Cranberry-Attempt", m_attempt.text().toUtf8());
    logEvent(LogLevel::Info, EventId::AttemptSent,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"target", m_target.text()}});
    ++m_context.counters.attemptsSent;
    m_sent = true;
    HttpExchangeOptions options;
    options.confirmClose = true;
    m_exchange = m_context.client.fetch(
        m_endpoint, request, options, [this](HttpExchangeEnd end, const HttpResponse &response) {
            const std::shared_ptr<PlainRun> alive = shared_from_this();
            exchangeEnded(end, response);
        });
}

void PlainRun::exchangeEnded(HttpExchangeEnd end, const HttpResponse &response)
{
    if (m_hasEnded)
        return;
    if (end != HttpExchangeEnd::Complete) {
        handleSendFailure(failureOfExchange(end, false), response);
        return;
    }
    const SendFailure failure = failureOfAnswer(response.status, response.body);
    if (ranAfter(failure) == Ran::No) {
        handleSendFailure(failure, response);
        return;
    }
    releaseTarget(AttemptOutcome::Finished);
    finish(response);
}

void PlainRun::handleSendFailure(SendFailure failure, const HttpResponse &response)
{
    logEvent(LogLevel::Warning, EventId::AttemptFailed,
             {{"request", m_request.id.text()},
              {"attempt", m_attempt.text()},
              {"target", m_target.text()},
              {"failure", QLatin1String(sendFailureName(failure))},
              {"status", QString::number(response.status)}});
    const TargetId failedTarget = m_target;
    const Ran ran = ranAfter(failure);
    m_ranInEarlierAttempts = std::max(m_ranInEarlierAttempts, ran);
    releaseTarget(outcomeAfter(failure));
    const bool mayRunAgain = ran == Ran::No || !m_request.atMostOnce;
    // As in GenerationRun, a send that put no load on a target does not use the retry budget.
    const bool skipsRetryBudget = failure == SendFailure::NotConnected;
    if (mayRunAgain
        && (skipsRetryBudget || m_context.targets.takeRetry(m_request.workspace, failedTarget))) {
        ++m_context.counters.retries;
        m_excludedTargets.insert(failedTarget);
        m_isRetry = true;
        acquireTarget();
        return;
    }
    fail({ran == Ran::No ? ErrorKind::NoTarget : ErrorKind::TargetFailed,
          ran,
          QLatin1String(sendFailureName(failure)),
          {},
          {}});
}

void PlainRun::releaseTarget(AttemptOutcome outcome)
{
    m_exchange.reset();
    if (!m_target.isEmpty())
        m_context.targets.attemptEnded(m_attempt, m_target, outcome);
    m_target = TargetId();
}

void PlainRun::fail(Error error)
{
    if (m_hasEnded)
        return;
    if (m_target.isEmpty())
        m_context.targets.withdraw(m_request.id);
    releaseTarget(AttemptOutcome::Cancelled);
    // An earlier attempt may have run, and the error must not report less than that.
    error.ran = std::max(error.ran, m_ranInEarlierAttempts);
    if (error.ran == Ran::No)
        m_claim.release();
    finish(error);
}

void PlainRun::finish(const Result<HttpResponse> &answer)
{
    m_hasEnded = true;
    m_claim.abandon();
    m_deadlineTimer.reset();
    m_context.targets.requestEnded(m_request.id);
    const Callback callback = std::move(m_callback);
    m_callback = nullptr;
    if (callback)
        callback(answer);
}

} // namespace cranberry
