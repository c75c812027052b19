#pragma once

#include "base/Ids.h"
#include "delivery/SendFailure.h"
#include "delivery/ServerSentEventParser.h"
#include "delivery/TokenEvent.h"
#include "http/HttpEndpoint.h"

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class HttpClient;
class HttpExchange;
class HttpHeaders;
struct HttpRequest;

/// Callbacks of a TargetStream. A callback may destroy the stream.
struct TargetStreamCallbacks {
    /// The target began to answer, so the generation has started.
    std::function<void()> answerBegan;
    std::function<void(const TokenEvent &event)> event;
    /// Called once, as the last callback. @p failure is empty if the stream was closed regularly
    /// after its last event.
    std::function<void(std::optional<SendFailure> failure, int status, const QString &reason)>
        ended;
};

/// One HTTP exchange with a target, a send or a resume, that delivers the events of a generation.
/// Destroying it closes the connection, which does not cancel the generation at the target.
/// Thread safety: only from the thread of its HTTP client.
class TargetStream
{
public:
    /// Precondition: @p client outlives the stream.
    TargetStream(HttpClient &client, const HttpEndpoint &endpoint, const HttpRequest &request,
                 const AttemptId &attempt, TargetStreamCallbacks callbacks);
    ~TargetStream();
    TargetStream(const TargetStream &) = delete;
    TargetStream &operator=(const TargetStream &) = delete;

private:
    void headersArrived(int status, const HttpHeaders &headers);
    void bytesArrived(const QByteArray &bytes);
    void exchangeEnded(HttpExchangeEnd end, const QString &reason);
    void finish(std::optional<SendFailure> failure, const QString &reason);

    AttemptId m_attempt;
    TargetStreamCallbacks m_callbacks;
    ServerSentEventParser m_events;
    QByteArray m_errorBody;
    int m_status = 0;
    bool m_answerBegan = false;
    bool m_lastEventReceived = false;
    std::shared_ptr<bool> m_destroyed;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
