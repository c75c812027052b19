#include "delivery/TargetStream.h"

#include "http/HttpClient.h"

namespace cranberry {

namespace {

constexpr int StatusOk = 200;
constexpr qsizetype MaxErrorBodyBytes = 64 * 1024;
constexpr Milliseconds ConnectTimeout{1000};

} // namespace

TargetStream::TargetStream(HttpClient &client, const HttpEndpoint &endpoint,
                           const HttpRequest &request, const AttemptId &attempt,
                           TargetStreamCallbacks callbacks)
    : m_attempt(attempt)
    , m_callbacks(std::move(callbacks))
    , m_destroyed(std::make_shared<bool>(false))
{
    HttpExchangeCallbacks exchange;
    exchange.headers = [this](int status, const HttpHeaders &headers) {
        headersArrived(status, headers);
    };
    exchange.body = [this](const QByteArray &bytes) { bytesArrived(bytes); };
    exchange.finished = [this](HttpExchangeEnd end, const QString &reason) {
        exchangeEnded(end, reason);
    };
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    m_exchange = client.send(endpoint, request, options, std::move(exchange));
}

TargetStream::~TargetStream()
{
    *m_destroyed = true;
}

void TargetStream::headersArrived(int status, const HttpHeaders &headers)
{
    m_status = status;
    if (status != StatusOk)
        return;
    // The complete answer to another attempt must not be delivered as the answer to this one.
    const QByteArray echoed = headers.value("Cranberry-Attempt");
    if (!echoed.isEmpty() && echoed != m_attempt.text().toUtf8()) {
        finish(SendFailure::MalformedAnswer,
               QStringLiteral("the answer belongs to another attempt"));
        return;
    }
    m_answerBegan = true;
    m_callbacks.answerBegan();
}

void TargetStream::bytesArrived(const QByteArray &bytes)
{
    if (!m_answerBegan) {
        m_errorBody += bytes.left(MaxErrorBodyBytes - m_errorBody.size());
        return;
    }
    const std::shared_ptr<bool> destroyed = m_destroyed;
    for (const ServerSentEvent &event : m_events.feed(bytes)) {
        if (event.data == "[DONE]")
            continue;
        const Result<TokenEvent> token = parseTokenEvent(event);
        if (!token) {
            finish(SendFailure::BrokenAfterStart, token.error().detail);
            return;
        }
        m_lastEventReceived = m_lastEventReceived || token.value().isLast();
        m_callbacks.event(token.value());
        if (*destroyed)
            return;
    }
    if (m_events.isMalformed())
        finish(SendFailure::BrokenAfterStart, QStringLiteral("an event exceeds the size limit"));
}

void TargetStream::exchangeEnded(HttpExchangeEnd end, const QString &reason)
{
    if (end != HttpExchangeEnd::Complete) {
        finish(failureOfExchange(end, m_answerBegan), reason);
        return;
    }
    if (!m_answerBegan) {
        finish(failureOfAnswer(m_status, m_errorBody), QString::fromUtf8(m_errorBody.left(200)));
        return;
    }
    if (!m_lastEventReceived) {
        finish(SendFailure::BrokenAfterStart,
               QStringLiteral("the answer ended without a last event"));
        return;
    }
    finish(std::nullopt, {});
}

void TargetStream::finish(std::optional<SendFailure> failure, const QString &reason)
{
    const auto callback = std::move(m_callbacks.ended);
    m_callbacks.ended = nullptr;
    if (callback)
        callback(failure, m_status, reason);
}

} // namespace cranberry
