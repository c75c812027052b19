#pragma once

#include "base/Units.h"
#include "http/HttpHeaders.h"
#include "http/MemoryCharge.h"
#include "relay/ForwardOutcome.h"

#include <functional>
#include <memory>

namespace cranberry {

class HttpClient;
class HttpExchange;
enum class HttpExchangeEnd;
struct ForwardMessage;
struct HttpEndpoint;

/// The response of a daemon to a forwarded request.
struct ForwardResult {
    ForwardOutcome outcome = ForwardOutcome::Broken;
    /// Unset if no response arrived.
    int status = 0;
    /// For the caller.
    HttpHeaders headers;
    /// Empty for a stream.
    QByteArray body;
    QString reason;
};

/// Bounds of a response that is not a stream.
struct ForwardLimits {
    Bytes maxAnswer;
    /// Outlives the exchange.
    CallerMemory &memory;
};

struct ForwardCallbacks {
    /// Called with the head of a stream of a target.
    std::function<void(int status, const HttpHeaders &headers)> began;
    /// Called with the bytes of the stream, after began.
    std::function<void(const QByteArray &data)> data;
    /// Called exactly once, last, unless the exchange is destroyed before.
    std::function<void(const ForwardResult &result)> ended;
};

/// A request that is forwarded to another daemon, and its response. Destroying it closes the
/// connection, which ends the request there.
/// Thread safety: only from the thread of the event loop. A callback may destroy the exchange.
class ForwardedExchange
{
public:
    /// @p maxIdle: maximum idle time of a reused connection; zero opens a new one.
    /// Precondition: @p client outlives the exchange.
    ForwardedExchange(HttpClient &client, const HttpEndpoint &peer, const ForwardMessage &message,
                      Milliseconds maxIdle, const ForwardLimits &limits,
                      ForwardCallbacks callbacks);
    ~ForwardedExchange();

private:
    void headersReceived(int status, const HttpHeaders &headers);
    void bodyReceived(const QByteArray &data);
    void cutOff(const QString &reason);
    void finished(HttpExchangeEnd end, const QString &reason);

    ForwardCallbacks m_callbacks;
    ForwardResult m_result;
    Bytes m_maxAnswer;
    MemoryCharge m_bodyCharge;
    bool m_expectsStream = false;
    bool m_isStream = false;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
