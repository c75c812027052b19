#include "relay/ForwardedExchange.h"

#include "http/HttpClient.h"
#include "relay/ForwardMessage.h"

namespace cranberry {

namespace {

/// A reachable daemon accepts a connection within a few ms. No byte of the request has been sent
/// yet, so an early timeout is safe.
constexpr Milliseconds ConnectTimeout{300};
/// A larger response is cut off if callers hold too much memory.
constexpr Bytes MaxBodyWithoutRoom{64 * 1024};

/// A daemon sends its responses with a length or in chunks, so that a response that is cut off is
/// never complete.
bool hasOwnEnd(BodyFraming framing)
{
    return framing == BodyFraming::Length || framing == BodyFraming::Chunks;
}

} // namespace

ForwardedExchange::ForwardedExchange(HttpClient &client, const HttpEndpoint &peer,
                                     const ForwardMessage &message, Milliseconds maxIdle,
                                     const ForwardLimits &limits, ForwardCallbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_maxAnswer(limits.maxAnswer)
    , m_bodyCharge(limits.memory)
    , m_expectsStream(message.route.kind == RequestKind::Stream)
{
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.reuseConnection = maxIdle.count() > 0;
    options.keepConnection = true;
    options.maxIdleTime = maxIdle;
    HttpExchangeCallbacks events;
    events.headers = [this](int status, const HttpHeaders &headers) {
        headersReceived(status, headers);
    };
    events.body = [this](const QByteArray &data) { bodyReceived(data); };
    events.finished = [this](HttpExchangeEnd end, const QString &reason) { finished(end, reason); };
    m_exchange = client.send(peer, encodeForward(message), options, std::move(events));
}

ForwardedExchange::~ForwardedExchange() = default;

void ForwardedExchange::headersReceived(int status, const HttpHeaders &headers)
{
    m_result.status = status;
    m_result.headers = callerHeadersOf(headers);
    // All that a request leads to names its outcome. Daemons of earlier versions, and rejections of
    // the message itself, do not.
    m_result.outcome = forwardOutcomeOf(headers).value_or(ForwardOutcome::NotTaken);
    m_isStream = m_expectsStream && m_result.outcome == ForwardOutcome::Answered
        && m_exchange->framing() == BodyFraming::Chunks;
    if (!m_isStream)
        return;
    const auto began = m_callbacks.began;
    began(status, m_result.headers);
}

void ForwardedExchange::bodyReceived(const QByteArray &data)
{
    if (!m_isStream) {
        m_result.body += data;
        m_bodyCharge.set(Bytes(m_result.body.capacity()));
        if (Bytes(m_result.body.size()) > m_maxAnswer)
            cutOff(QStringLiteral("the response is too large"));
        else if (!m_bodyCharge.makeRoom() && Bytes(m_result.body.size()) > MaxBodyWithoutRoom)
            cutOff(QStringLiteral("no memory left for the response"));
        return;
    }
    const auto callback = m_callbacks.data;
    callback(data);
}

void ForwardedExchange::cutOff(const QString &reason)
{
    // Closes the connection.
    m_exchange.reset();
    m_result.body.clear();
    finished(HttpExchangeEnd::Malformed, reason);
}

void ForwardedExchange::finished(HttpExchangeEnd end, const QString &reason)
{
    const bool isWhole = end == HttpExchangeEnd::Complete && hasOwnEnd(m_exchange->framing());
    if (end == HttpExchangeEnd::NotConnected)
        m_result.outcome = ForwardOutcome::NotTaken;
    else if (!isWhole)
        m_result.outcome = ForwardOutcome::Broken;
    m_result.reason = reason;
    const auto callback = std::move(m_callbacks.ended);
    callback(ForwardResult(m_result));
}

} // namespace cranberry
