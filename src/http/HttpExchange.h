#pragma once

#include "base/Units.h"
#include "http/BodyFraming.h"
#include "http/ClientConnection.h"
#include "http/HttpEndpoint.h"
#include "http/HttpExchangeEnd.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpHeaders.h"
#include "http/ResponseMatch.h"

#include <QByteArray>

#include <functional>
#include <memory>

namespace cranberry {

class EndpointCheck;
class HttpConnectionPool;
class MemoryCharge;
class TimerService;
class TimerSubscription;
enum class TcpEnd;
struct HttpRequest;

namespace internal {
class HttpResponseParser;
}

/// Callbacks to the owner of an exchange. Every member may be empty. A callback may destroy the
/// exchange.
struct HttpExchangeCallbacks {
    std::function<void(int status, const HttpHeaders &headers)> headers;
    std::function<void(const QByteArray &data)> body;
    /// Called exactly once, as the last callback, unless the exchange is destroyed before.
    std::function<void(HttpExchangeEnd end, const QString &reason)> finished;
};

/// One request of the client and the response to it, delivered as it arrives. Destroying an
/// unfinished exchange closes its connection.
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

    /// Whether the connection was opened for this exchange.
    bool isNewConnection() const { return m_connection.use.earlierExchanges == 0; }
    /// Whether the response is the first one on its connection.
    bool isFirstResponse() const { return isNewConnection() && m_skipped == 0; }
    const ConnectionUse &connectionUse() const { return m_connection.use; }
    /// Responses to other requests that were received before the response to this one.
    int skippedResponses() const { return m_skipped; }
    /// Whether the response belongs to the request, once its headers were received.
    ResponseMatch responseMatch() const { return m_match; }
    /// How the end of the response's body is marked.
    BodyFraming framing() const;

private:
    void handleConnected();
    void startStallTimer(Milliseconds delay);
    void handleData(const QByteArray &data);
    bool parse();
    /// Ends the exchange and returns true if @p body makes the response too large.
    bool endIfTooLarge(const QByteArray &body);
    /// Ends the exchange and returns true if there is no memory left for what it holds.
    bool endIfNoRoom();
    Bytes heldBytes() const;
    bool isSkipping() const { return m_match == ResponseMatch::Foreign; }
    /// Returns false if there were too many; the exchange has finished then.
    bool skipInterimResponse();
    bool processHeaders();
    void logForeignResponse(const QByteArray &echo) const;
    void handleEnd(TcpEnd end);
    void confirmClose();
    void finish(HttpExchangeEnd end, const QString &reason);
    Milliseconds keepAliveTimeout() const;

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
    ClientConnection m_connection;
    std::unique_ptr<EndpointCheck> m_closeCheck;
    Bytes m_bodyBytes{0};
    /// Of the bodies of all skipped responses.
    Bytes m_skippedBytes{0};
    Bytes m_interimBytes{0};
    /// Null without an account.
    std::unique_ptr<MemoryCharge> m_charge;
    bool m_connected = false;
    int m_skipped = 0;
    /// Of the response being parsed; a foreign one is skipped.
    ResponseMatch m_match = ResponseMatch::Own;
    /// True if a response to another request was received; the connection is then not reused.
    bool m_hasUnexpectedData = false;
    bool m_finished = false;
    /// Set to true by the destructor, so that a function that invoked a callback returns without
    /// access to the destroyed object.
    std::shared_ptr<bool> m_destroyed;
};

} // namespace cranberry
