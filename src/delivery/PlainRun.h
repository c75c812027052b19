#pragma once

#include "base/Result.h"
#include "delivery/PlainRequest.h"
#include "delivery/RequestClaim.h"
#include "delivery/SendFailure.h"
#include "delivery/TargetSource.h"
#include "http/HttpExchangeEnd.h"
#include "http/HttpResponse.h"

#include <QSet>

#include <functional>
#include <memory>

namespace cranberry {

class HttpExchange;
class TimerSubscription;
struct ClaimDecision;
struct DeliveryContext;

/// Runs one call of a plain service to its end. A plain service supports neither resume nor
/// cancel: a call whose answer was lost may have run and is retried only if it is idempotent.
/// Thread safety: only from the event loop thread.
class PlainRun : public std::enable_shared_from_this<PlainRun>
{
public:
    using Callback = std::function<void(const Result<HttpResponse> &answer)>;

    /// Precondition: @p context outlives the run. @p callback is called once.
    PlainRun(DeliveryContext &context, PlainRequest request, Callback callback);
    ~PlainRun();
    PlainRun(const PlainRun &) = delete;
    PlainRun &operator=(const PlainRun &) = delete;

    /// Starts the run. Precondition: called once.
    void start();

private:
    void acquireTarget();
    void targetAcquired(const Result<TargetAssignment> &assignment);
    void claimDecided(const Result<ClaimDecision> &decision);
    void send();
    void exchangeEnded(HttpExchangeEnd end, const HttpResponse &response);
    void handleSendFailure(SendFailure failure, const HttpResponse &response);
    void releaseTarget(AttemptOutcome outcome);
    void finish(const Result<HttpResponse> &answer);
    void fail(Error error);

    DeliveryContext &m_context;
    const PlainRequest m_request;
    RequestClaim m_claim;
    Callback m_callback;
    AttemptId m_attempt;
    TargetId m_target;
    HttpEndpoint m_endpoint;
    QSet<TargetId> m_excludedTargets;
    std::unique_ptr<HttpExchange> m_exchange;
    std::unique_ptr<TimerSubscription> m_deadlineTimer;
    Ran m_ranInEarlierAttempts = Ran::No;
    bool m_isRetry = false;
    bool m_sent = false;
    bool m_hasEnded = false;
};

} // namespace cranberry
