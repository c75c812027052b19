#include "http/HttpExchange.h"

#include "base/BoundedDuration.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/EndpointCheck.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpRequest.h"
#include "http/HttpResponseParser.h"
#include "http/MemoryCharge.h"
#include "http/ResponseHead.h"
#include "http/TcpStream.h"

namespace cranberry {

namespace {

/// Time for which an idle connection is kept if the peer sends no keep-alive timeout. Such a peer
/// may close an idle connection within a second.
constexpr Milliseconds DefaultKeepAliveTimeout{500};
/// Subtracted from the peer's keep-alive timeout, so that no request is sent while the peer closes
/// the connection.
constexpr Milliseconds KeepAliveMargin{1000};

/// Maximum size of a part that can only be parsed as a whole, such as the header of a chunk.
constexpr qsizetype MaxUnparsed = 128 * 1024;

/// Maximum size of responses to other requests on one connection.
constexpr Bytes MaxSkipped{1024 * 1024};

/// Maximum size of the interim responses (RFC 9110, section 15.2) before a response.
constexpr Bytes MaxInterim{64 * 1024};

constexpr qsizetype MaxLoggedEcho = 64;

QByteArray serializeRequest(const HttpEndpoint &endpoint, const HttpRequest &request,
                            bool keepAlive)
{
    QByteArray text = request.method + ' ' + request.path;
    if (!request.query.isEmpty())
        text += '?' + request.query.toString(QUrl::FullyEncoded).toUtf8();
    text += " HTTP/1.1\r\n";
    if (!request.headers.contains("Host"))
        text +=
            "Host: " + endpoint.address.toUtf8() + ':' + QByteArray::number(endpoint.port) + "\r\n";
    if (!keepAlive)
        text += "Connection: close\r\n";
    for (const HttpHeaders::Field &field : request.headers.fields())
        text += field.first + ": " + field.second + "\r\n";
    const bool hasLength = !request.body.isEmpty() || request.method != "GET";
    if (hasLength)
        text += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

const char *endReason(TcpEnd end)
{
    switch (end) {
    case TcpEnd::Closed:
        return "closed by the peer";
    case TcpEnd::ClosedEarly:
        return "closed by the peer before it received the request";
    case TcpEnd::NotConnected:
    case TcpEnd::Reset:
        break;
    }
    return "reset by the peer";
}

} // namespace

HttpExchange::HttpExchange(HttpConnectionPool &pool, TimerService &timers,
                           const HttpEndpoint &endpoint, const HttpRequest &request,
                           const HttpExchangeOptions &options, HttpExchangeCallbacks callbacks)
    : m_pool(pool)
    , m_timers(timers)
    , m_endpoint(endpoint)
    , m_options(options)
    , m_outgoing(
          serializeRequest(endpoint, request, options.reuseConnection || options.keepConnection))
    , m_callbacks(std::move(callbacks))
    , m_parser(std::make_unique<internal::HttpResponseParser>())
    , m_charge(options.memory ? std::make_unique<MemoryCharge>(*options.memory) : nullptr)
    , m_destroyed(std::make_shared<bool>(false))
{
    if (options.reuseConnection)
        m_connection =
            pool.take(endpoint, options.maxIdleTime, options.requireNamed, options.echoValue);
    const bool reused = m_connection.stream != nullptr;
    if (!reused)
        m_connection = pool.open(endpoint, options.echoValue);
    TcpStreamCallbacks events;
    events.connected = [this] { handleConnected(); };
    events.received = [this](const QByteArray &data) { handleData(data); };
    events.ended = [this](TcpEnd end) { handleEnd(end); };
    m_connection.stream->setCallbacks(std::move(events));
    if (reused) {
        handleConnected();
        return;
    }
    m_timeout = timers.after(options.connectTimeout, [this] {
        finish(HttpExchangeEnd::NotConnected, QStringLiteral("connect timeout"));
    });
}

HttpExchange::~HttpExchange()
{
    *m_destroyed = true;
}

void HttpExchange::handleConnected()
{
    m_connected = true;
    m_timeout.reset();
    if (m_options.timeout.count() > 0) {
        m_timeout = m_timers.after(m_options.timeout, [this] {
            finish(HttpExchangeEnd::TimedOut, QStringLiteral("response timeout"));
        });
    }
    if (m_options.stallTimeout.count() > 0) {
        m_lastProgress = m_timers.now();
        startStallTimer(m_options.stallTimeout);
    }
    m_connection.stream->write(m_outgoing);
    m_outgoing.clear();
}

void HttpExchange::startStallTimer(Milliseconds delay)
{
    m_stallTimer = m_timers.after(delay, [this] {
        const auto idle = std::chrono::duration_cast<Milliseconds>(m_timers.now() - m_lastProgress);
        if (idle < m_options.stallTimeout)
            startStallTimer(m_options.stallTimeout - idle);
        else
            finish(HttpExchangeEnd::TimedOut, QStringLiteral("no data within the stall timeout"));
    });
}

void HttpExchange::handleData(const QByteArray &data)
{
    const std::shared_ptr<bool> destroyed = m_destroyed;
    m_lastProgress = m_timers.now();
    m_incoming += data;
    if (!parse())
        return;
    const QByteArray body = m_parser->takeBody();
    if (endIfTooLarge(body) || endIfNoRoom())
        return;
    if (m_incoming.size() > MaxUnparsed && !m_parser->is_done()) {
        finish(HttpExchangeEnd::Malformed, QStringLiteral("a chunk header is too large"));
        return;
    }
    if (!isSkipping() && !body.isEmpty() && m_callbacks.body) {
        m_callbacks.body(body);
        if (*destroyed || m_finished)
            return;
    }
    if (m_parser->is_done())
        finish(HttpExchangeEnd::Complete, {});
}

bool HttpExchange::endIfTooLarge(const QByteArray &body)
{
    const std::optional<Bytes> limit = isSkipping() ? MaxSkipped : m_options.maxBody;
    Bytes &received = isSkipping() ? m_skippedBytes : m_bodyBytes;
    received += Bytes(body.size());
    if (!limit || received <= *limit)
        return false;
    finish(HttpExchangeEnd::Malformed,
           QStringLiteral("the body is larger than %1 bytes").arg(limit->value()));
    return true;
}

bool HttpExchange::endIfNoRoom()
{
    if (!m_charge)
        return false;
    m_charge->set(heldBytes());
    if (m_charge->bytes() <= m_options.maxWithoutRoom || m_charge->makeRoom())
        return false;
    finish(HttpExchangeEnd::Malformed, QStringLiteral("no memory left for the response"));
    return true;
}

Bytes HttpExchange::heldBytes() const
{
    const Bytes collected = m_options.collectsBody ? m_bodyBytes : Bytes(0);
    return Bytes(m_incoming.size()) + m_parser->heldBytes() + collected;
}

/// Parses the received data; returns false if the exchange has finished or is destroyed.
bool HttpExchange::parse()
{
    boost::beast::error_code error;
    while (!m_incoming.isEmpty() && !m_parser->is_done()) {
        const bool hadHeaders = m_parser->is_header_done();
        const std::size_t used = m_parser->parse(m_incoming, error);
        m_incoming.remove(0, qsizetype(used));
        if (const char *fault = m_parser->fault()) {
            finish(HttpExchangeEnd::Malformed, QLatin1String(fault));
            return false;
        }
        if (!hadHeaders && m_parser->is_header_done()) {
            if (isInterimStatus(m_parser->status())) {
                if (!skipInterimResponse())
                    return false;
                continue;
            }
            if (!processHeaders())
                return false;
        }
        if (error == boost::beast::http::error::need_more || (!error && used == 0))
            break;
        if (error) {
            finish(HttpExchangeEnd::Malformed, QString::fromStdString(error.message()));
            return false;
        }
        if (isSkipping() && m_parser->is_done()) {
            m_match = ResponseMatch::Own;
            m_parser = std::make_unique<internal::HttpResponseParser>();
        }
    }
    return true;
}

bool HttpExchange::skipInterimResponse()
{
    m_interimBytes += m_parser->headBytes();
    if (m_interimBytes > MaxInterim) {
        finish(HttpExchangeEnd::Malformed, QStringLiteral("too many interim responses"));
        return false;
    }
    m_parser = std::make_unique<internal::HttpResponseParser>();
    return true;
}

bool HttpExchange::processHeaders()
{
    if (!m_options.echoHeader.isEmpty()) {
        const QByteArray echo = m_parser->headers().value(m_options.echoHeader);
        ConnectionUse &use = m_connection.use;
        m_match = matchResponse(m_options.echoValue, echo, {isFirstResponse(), use.hadNamed});
        use.hadNamed = use.hadNamed || !echo.isEmpty();
        use.hadUnnamed = use.hadUnnamed || echo.isEmpty();
        if (m_match != ResponseMatch::Own) {
            m_pool.countForeignResponse();
            logForeignResponse(echo);
            m_hasUnexpectedData = true;
        }
        if (isSkipping()) {
            ++m_skipped;
            return true;
        }
    }
    const std::shared_ptr<bool> destroyed = m_destroyed;
    if (m_callbacks.headers)
        m_callbacks.headers(m_parser->status(), m_parser->headers());
    return !*destroyed && !m_finished;
}

void HttpExchange::logForeignResponse(const QByteArray &echo) const
{
    const ConnectionUse &use = m_connection.use;
    logEvent(LogLevel::Info, EventId::ResponseForeign,
             {{"peer", m_endpoint.address + u':' + QString::number(m_endpoint.port)},
              {"request", QString::fromLatin1(m_options.echoValue)},
              {"received", QString::fromLatin1(echo.left(MaxLoggedEcho))},
              {"status", QString::number(m_parser->status())},
              {"skipped", QLatin1String(isSkipping() ? "yes" : "no")},
              {"connection", QString::number(use.number)},
              {"exchanges", QString::number(use.earlierExchanges)},
              {"connection_ms", QString::number(ageOf(use, m_timers.now()).count())}});
}

void HttpExchange::handleEnd(TcpEnd end)
{
    if (end == TcpEnd::NotConnected || !m_connected) {
        finish(HttpExchangeEnd::NotConnected, QStringLiteral("connection failed"));
        return;
    }
    // A response without a length ends when the peer closes the connection in order; after a reset
    // its last bytes may be missing, and a peer that has not received the whole request may have
    // given up. The parser also accepts an end before the first byte as a complete response, so the
    // headers must have been received.
    const bool hadHeaders = m_parser->is_header_done() && !isSkipping();
    bool isComplete = false;
    if (hadHeaders && end == TcpEnd::Closed) {
        boost::beast::error_code error;
        m_parser->put_eof(error);
        isComplete = !error && m_parser->is_done();
    }
    if (isComplete && m_options.confirmClose && framing() == BodyFraming::Connection) {
        confirmClose();
        return;
    }
    finish(isComplete ? HttpExchangeEnd::Complete : HttpExchangeEnd::Broken,
           QLatin1String(endReason(end)));
}

void HttpExchange::confirmClose()
{
    m_stallTimer.reset();
    m_closeCheck = std::make_unique<EndpointCheck>(
        m_timers, m_endpoint, m_options.connectTimeout, [this](bool isAccepting) {
            if (isAccepting)
                finish(HttpExchangeEnd::Complete, QStringLiteral("closed by the peer"));
            else
                finish(HttpExchangeEnd::Broken,
                       QStringLiteral("closed by the peer, which no longer accepts connections"));
        });
}

BodyFraming HttpExchange::framing() const
{
    return isSkipping() ? BodyFraming::Unknown : m_parser->framing();
}

Milliseconds HttpExchange::keepAliveTimeout() const
{
    const QByteArray keepAlive = m_parser->headers().value("Keep-Alive");
    const qsizetype position = keepAlive.indexOf("timeout=");
    if (position < 0)
        return DefaultKeepAliveTimeout;
    const QByteArray seconds =
        keepAlive.mid(position + qsizetype(strlen("timeout="))).split(',').first();
    const Milliseconds peerTimeout = boundedDuration(double(seconds.trimmed().toLongLong()) * 1000);
    return std::max(peerTimeout - KeepAliveMargin, DefaultKeepAliveTimeout);
}

void HttpExchange::finish(HttpExchangeEnd end, const QString &reason)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timeout.reset();
    m_stallTimer.reset();
    m_connection.stream->setCallbacks({});
    // After a response that arrives before the request is sent completely, or that is followed by
    // further bytes, leftover data on the connection would be mixed up with the next request.
    const bool isReusable =
        m_incoming.isEmpty() && !m_hasUnexpectedData && m_connection.stream->unsentBytes() == 0;
    const bool mayKeep = m_options.reuseConnection || m_options.keepConnection;
    if (end == HttpExchangeEnd::Complete && mayKeep && isReusable && m_parser->keep_alive())
        m_pool.release(m_endpoint, std::move(m_connection), keepAliveTimeout());
    else
        m_connection.stream.reset();
    // The charge and what the callbacks have collected are released when this function returns,
    // even if the owner keeps the exchange.
    m_incoming = {};
    const std::unique_ptr<MemoryCharge> charge = std::move(m_charge);
    const HttpExchangeCallbacks callbacks = std::exchange(m_callbacks, {});
    if (callbacks.finished)
        callbacks.finished(end, reason);
}

} // namespace cranberry
