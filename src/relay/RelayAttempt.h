#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "delivery/ServerSentEventParser.h"
#include "http/HttpExchange.h"
#include "http/MemoryCharge.h"
#include "relay/SendResult.h"

#include <functional>
#include <memory>

namespace cranberry {

class TimerSubscription;
enum class AnswerProof;
struct AttemptPlan;
enum class RelayAttemptEnd;
struct RelayContext;
struct RelayRequest;

struct RelayAttemptCallbacks {
    /// Called with the head of a successful, sealed stream.
    std::function<void(const AnswerHead &head)> began;
    /// Called with each complete event of a stream, after began.
    std::function<void(const ServerSentEvent &event)> event;
    /// Called exactly once, last, unless the attempt is destroyed before.
    std::function<void(const SendResult &result)> ended;
};

/// What the end of an attempt says about its target. Thread-safe.
RelayAttemptEnd attemptEndOf(const SendResult &result);

/// One request to one target and its answer. Destroying it closes the connection, which tells the
/// target that the answer is no longer needed.
/// Thread safety: only from the thread of the event loop. A callback may destroy the attempt.
class RelayAttempt
{
public:
    /// Sends @p request to @p endpoint according to @p plan. If @p callbacks.event is set, a
    /// successful answer is delivered event by event, otherwise as a whole. @p maxIdle: maximum
    /// idle time of a reused connection; zero opens a new one.
    /// Precondition: @p context and @p request outlive the attempt.
    RelayAttempt(RelayContext &context, const RelayRequest &request, const HttpEndpoint &endpoint,
                 const AttemptPlan &plan, Milliseconds maxIdle, RelayAttemptCallbacks callbacks);
    ~RelayAttempt();

    /// Bytes of a stream after its last complete event.
    QByteArray trailingBytes() const { return m_events.trailingBytes(); }

private:
    void withheld();
    void headersReceived(int status, const HttpHeaders &headers);
    void bodyReceived(const QByteArray &data);
    /// Ends an answer that is too large.
    void cutOff(const QString &reason);
    void finished(HttpExchangeEnd end, const QString &reason);
    SendResult::Kind classify(HttpExchangeEnd end, AnswerEnd answerEnd) const;

    RelayContext &m_context;
    const RelayRequest &m_request;
    RelayAttemptCallbacks m_callbacks;
    const TargetId m_target;
    const MonotonicTime m_sentAt;
    AnswerHead m_head;
    bool m_hasHead = false;
    AnswerProof m_proof;
    /// The answer may be another one's.
    bool m_isUncertain = false;
    bool m_isStream = false;
    QByteArray m_body;
    MemoryCharge m_bodyCharge;
    /// Of an answer that was cut off.
    BodyFraming m_framing = BodyFraming::Unknown;
    ServerSentEventParser m_events;
    /// Expires when the attempt is destroyed, which a callback may do.
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<HttpExchange> m_exchange;
    std::unique_ptr<TimerSubscription> m_withheldTimer;
};

} // namespace cranberry
