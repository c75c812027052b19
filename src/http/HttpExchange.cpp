#include "http/HttpExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpRequest.h"
#include "http/HttpResponseParser.h"
#include "http/TcpStream.h"

namespace cranberry {

namespace {

/// Kept for this long where the peer does not say how long it keeps an idle connection. A peer
/// that says nothing may close it within a second.
constexpr Milliseconds KeepUnstated{500};
/// Taken off what the peer says, so that a request does not cross its close.
constexpr Milliseconds KeepMargin{1000};

QByteArray wireText(const HttpEndpoint &endpoint, const HttpRequest &request, bool keepAlive)
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

} // namespace

HttpExchange::HttpExchange(HttpConnectionPool &pool, TimerService &timers,
                           const HttpEndpoint &endpoint, const HttpRequest &request,
                           const HttpExchangeOptions &options, HttpExchangeCallbacks callbacks)
    : m_pool(pool)
    , m_timers(timers)
    , m_endpoint(endpoint)
    , m_options(options)
    , m_outgoing(wireText(endpoint, request, options.reuseConnection || options.keepConnection))
    , m_callbacks(std::move(callbacks))
    , m_parser(std::make_unique<internal::HttpResponseParser>())
    , m_destroyed(std::make_shared<bool>(false))
{
    if (options.reuseConnection)
        m_stream = pool.take(endpoint, options.mostIdle);
    const bool reused = m_stream != nullptr;
    if (!reused)
        m_stream = TcpStream::connectTo(endpoint);
    TcpStreamCallbacks events;
    events.connected = [this] { connected(); };
    events.received = [this](const QByteArray &data) { received(data); };
    events.ended = [this](TcpEnd end) { ended(end); };
    m_stream->setCallbacks(std::move(events));
    if (reused) {
        connected();
        return;
    }
    m_timeout = timers.after(options.connectTimeout, [this] {
        finish(HttpExchangeEnd::NotConnected, QStringLiteral("no connection in time"));
    });
}

HttpExchange::~HttpExchange()
{
    *m_destroyed = true;
}

void HttpExchange::connected()
{
    m_connected = true;
    m_timeout.reset();
    if (m_options.timeout.count() > 0) {
        m_timeout = m_timers.after(m_options.timeout, [this] {
            finish(HttpExchangeEnd::TimedOut, QStringLiteral("no answer in time"));
        });
    }
    if (m_options.stallTimeout.count() > 0) {
        m_lastProgress = m_timers.now();
        watchForStall(m_options.stallTimeout);
    }
    m_stream->write(m_outgoing);
    m_outgoing.clear();
}

void HttpExchange::watchForStall(Milliseconds delay)
{
    m_stallTimer = m_timers.after(delay, [this] {
        const auto idle = std::chrono::duration_cast<Milliseconds>(m_timers.now() - m_lastProgress);
        if (idle < m_options.stallTimeout)
            watchForStall(m_options.stallTimeout - idle);
        else
            finish(HttpExchangeEnd::TimedOut, QStringLiteral("no data within the stall timeout"));
    });
}

void HttpExchange::received(const QByteArray &data)
{
    const std::shared_ptr<bool> destroyed = m_destroyed;
    m_lastProgress = m_timers.now();
    m_incoming += data;
    if (!parse())
        return;
    const QByteArray body = m_parser->takeBody();
    if (!m_skipping && !body.isEmpty() && m_callbacks.body) {
        m_callbacks.body(body);
        if (*destroyed || m_finished)
            return;
    }
    if (m_parser->is_done())
        finish(HttpExchangeEnd::Complete, {});
}

/// Feeds the parser; false if the exchange is over or destroyed.
bool HttpExchange::parse()
{
    boost::beast::error_code error;
    while (!m_incoming.isEmpty() && !m_parser->is_done()) {
        const bool hadHeaders = m_parser->is_header_done();
        const std::size_t used = m_parser->put(
            boost::asio::const_buffer(m_incoming.constData(), size_t(m_incoming.size())), error);
        m_incoming.remove(0, qsizetype(used));
        if (!hadHeaders && m_parser->is_header_done() && !takeHeaders())
            return false;
        if (error == boost::beast::http::error::need_more || (!error && used == 0))
            break;
        if (error) {
            finish(HttpExchangeEnd::Malformed, QString::fromStdString(error.message()));
            return false;
        }
        if (m_skipping && m_parser->is_done()) {
            m_skipping = false;
            m_parser = std::make_unique<internal::HttpResponseParser>();
        }
    }
    return true;
}

bool HttpExchange::takeHeaders()
{
    const QByteArray echo = m_parser->headers().value(m_options.echoHeader);
    m_skipping = !m_options.echoHeader.isEmpty() && !echo.isNull() && echo != m_options.echoValue;
    if (m_skipping) {
        m_odd = true;
        return true;
    }
    const std::shared_ptr<bool> destroyed = m_destroyed;
    if (m_callbacks.headers)
        m_callbacks.headers(m_parser->status(), m_parser->headers());
    return !*destroyed && !m_finished;
}

void HttpExchange::ended(TcpEnd end)
{
    if (end == TcpEnd::NotConnected || !m_connected) {
        finish(HttpExchangeEnd::NotConnected, QStringLiteral("no connection"));
        return;
    }
    // An answer without a length ends with its connection, but only with an orderly close: after
    // a reset its last bytes may be missing. The parser takes an end before the first byte for
    // a whole answer too, so its headers must have come.
    const bool hadHeaders = m_parser->is_header_done() && !m_skipping;
    bool whole = false;
    if (hadHeaders && end == TcpEnd::Closed) {
        boost::beast::error_code error;
        m_parser->put_eof(error);
        whole = !error && m_parser->is_done();
    }
    finish(whole ? HttpExchangeEnd::Complete : HttpExchangeEnd::Broken,
           end == TcpEnd::Closed ? QStringLiteral("closed by the peer")
                                 : QStringLiteral("reset by the peer"));
}

Milliseconds HttpExchange::keepFor() const
{
    const QByteArray stated = m_parser->headers().value("Keep-Alive");
    const qsizetype at = stated.indexOf("timeout=");
    if (at < 0)
        return KeepUnstated;
    const QByteArray seconds = stated.mid(at + qsizetype(strlen("timeout="))).split(',').first();
    const Milliseconds limit{seconds.trimmed().toLongLong() * 1000};
    return std::max(limit - KeepMargin, KeepUnstated);
}

void HttpExchange::finish(HttpExchangeEnd end, const QString &reason)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timeout.reset();
    m_stallTimer.reset();
    m_stream->setCallbacks({});
    // An answer that came before the whole request had left, or with bytes behind it, leaves the
    // connection in a state that a further request would be mixed up with.
    const bool clean = m_incoming.isEmpty() && !m_odd && m_stream->unsentBytes() == 0;
    const bool kept = m_options.reuseConnection || m_options.keepConnection;
    if (end == HttpExchangeEnd::Complete && kept && clean && m_parser->keep_alive())
        m_pool.give(m_endpoint, std::move(m_stream), keepFor());
    else
        m_stream.reset();
    const auto callback = std::move(m_callbacks.finished);
    if (callback)
        callback(end, reason);
}

} // namespace cranberry
