// Defines HttpExchange, one request of the client under way.
#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "http/HttpExchangeEnd.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpHeaders.h"

#include <QByteArray>

#include <functional>
#include <memory>

namespace cranberry {

class HttpConnectionPool;
class TcpStream;
class TimerService;
class TimerSubscription;
enum class TcpEnd;
struct HttpRequest;

namespace internal {
class HttpResponseParser;
}

/// What the owner of an exchange is told. Every member may be empty. A callback may destroy
/// the exchange.
struct HttpExchangeCallbacks {
    std::function<void(int status, const HttpHeaders &headers)> headers;
    std::function<void(const QByteArray &data)> body;
    /// Called exactly once, last, unless the exchange is destroyed before.
    std::function<void(HttpExchangeEnd end, const QString &reason)> finished;
};

/// One request and the answer to it as it comes. Destroying it closes the connection.
/// Thread safety: only from the thread that made it.
class HttpExchange
{
public:
    /// Precondition: @p pool and @p timers outlive the exchange.
    HttpExchange(HttpConnectionPool &pool, TimerService &timers, const HttpEndpoint &endpoint,
                 const HttpRequest &request, const HttpExchangeOptions &options,
                 HttpExchangeCallbacks callbacks);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

private:
    void connected();
    void watchForStall(Milliseconds delay);
    void received(const QByteArray &data);
    bool parse();
    bool takeHeaders();
    void ended(TcpEnd end);
    void finish(HttpExchangeEnd end, const QString &reason);
    Milliseconds keepFor() const;

    HttpConnectionPool &m_pool;
    TimerService &m_timers;
    HttpEndpoint m_endpoint;
    HttpExchangeOptions m_options;
    QByteArray m_outgoing;
    QByteArray m_incoming;
    HttpExchangeCallbacks m_callbacks;
    std::unique_ptr<internal::HttpResponseParser> m_parser;
    std::unique_ptr<TimerSubscription> m_timeout;
    std::unique_ptr<TimerSubscription> m_stallTimer;
    /// When data was last received or, before any, when the connection was established.
    MonotonicTime m_lastProgress;
    std::unique_ptr<TcpStream> m_stream;
    bool m_connected = false;
    /// The answer at hand is that to another request.
    bool m_skipping = false;
    /// Something came that no request asked for; the connection is not used again.
    bool m_odd = false;
    bool m_finished = false;
    /// Set to true by the destructor, so that a loop that called back knows to stop.
    std::shared_ptr<bool> m_destroyed;
};

} // namespace cranberry
