// Defines RelayAttempt, one request at one target and its answer as it comes.
#pragma once

#include "delivery/ServerSentEventParser.h"
#include "http/HttpExchange.h"
#include "relay/SendResult.h"

#include <functional>
#include <memory>

namespace cranberry {

struct AttemptPlan;
struct RelayContext;
struct RelayRequest;

struct RelayAttemptCallbacks {
    /// The head of a sealed success of a stream.
    std::function<void(const AnswerHead &head)> began;
    /// One whole event of a stream, after began.
    std::function<void(const ServerSentEvent &event)> event;
    /// Called exactly once, last, unless the attempt is destroyed before.
    std::function<void(const SendResult &result)> ended;
};

/// Destroying it closes the connection, by which the target learns that nobody waits.
/// Thread safety: only from the thread of the event loop. A callback may destroy the attempt.
class RelayAttempt
{
public:
    /// Sends @p request to @p endpoint as @p plan says. With @p callbacks.event set, a success is
    /// handed over event by event, else whole.
    /// Precondition: @p context and @p request outlive the attempt.
    RelayAttempt(RelayContext &context, const RelayRequest &request, const HttpEndpoint &endpoint,
                 const AttemptPlan &plan, Milliseconds reuseIdle, RelayAttemptCallbacks callbacks);

    /// Bytes of a stream that came behind the last whole event.
    QByteArray unfinishedEvent() const { return m_events.unparsedBytes(); }

private:
    void headersCame(int status, const HttpHeaders &headers);
    void bodyCame(const QByteArray &data);
    void finished(HttpExchangeEnd end, const QString &reason);
    SendResult::Kind judge(HttpExchangeEnd end) const;

    RelayContext &m_context;
    const RelayRequest &m_request;
    RelayAttemptCallbacks m_callbacks;
    AnswerHead m_head;
    bool m_hasHead = false;
    bool m_isStream = false;
    QByteArray m_body;
    ServerSentEventParser m_events;
    /// Tells a callback's caller that the attempt is gone.
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
