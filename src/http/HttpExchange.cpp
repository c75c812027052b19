#include "http/HttpExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpRequest.h"
#include "http/HttpResponseParser.h"

#include <QHostAddress>
#include <QTcpSocket>

namespace cranberry {

namespace {

QByteArray wireText(const HttpEndpoint &endpoint, const HttpRequest &request, bool reuse)
{
    QByteArray text = request.method + ' ' + request.path;
    if (!request.query.isEmpty())
        text += '?' + request.query.toString(QUrl::FullyEncoded).toUtf8();
    text +=
        " HTTP/1.1\r\nHost: " + endpoint.address.toUtf8() + ':' + QByteArray::number(endpoint.port);
    text += reuse ? "\r\n" : "\r\nConnection: close\r\n";
    for (const HttpHeaders::Field &field : request.headers.fields())
        text += field.first + ": " + field.second + "\r\n";
    return text + "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n\r\n"
        + request.body;
}

} // namespace

HttpExchange::HttpExchange(HttpConnectionPool &pool, TimerService &timers,
                           const HttpEndpoint &endpoint, const HttpRequest &request,
                           const HttpExchangeOptions &options, HttpExchangeCallbacks callbacks)
    : m_pool(pool)
    , m_timers(timers)
    , m_endpoint(endpoint)
    , m_reuse(options.reuseConnection)
    , m_timeLimit(options.timeout)
    , m_outgoing(wireText(endpoint, request, options.reuseConnection))
    , m_callbacks(std::move(callbacks))
    , m_parser(std::make_unique<internal::HttpResponseParser>())
    , m_socket(m_reuse ? pool.take(endpoint) : nullptr)
    , m_destroyed(std::make_shared<bool>(false))
{
    const bool reused = m_socket != nullptr;
    if (!reused)
        m_socket = new QTcpSocket;
    QObject::connect(m_socket, &QTcpSocket::connected, m_socket, [this] { connected(); });
    QObject::connect(m_socket, &QTcpSocket::readyRead, m_socket, [this] { readAvailable(); });
    QObject::connect(m_socket, &QTcpSocket::errorOccurred, m_socket,
                     [this] { closed(m_socket->errorString()); });
    if (reused) {
        connected();
        return;
    }
    m_timeout = timers.after(options.connectTimeout, [this] {
        finish(HttpExchangeEnd::NotConnected, QStringLiteral("no connection in time"));
    });
    m_socket->connectToHost(QHostAddress(endpoint.address), endpoint.port);
}

HttpExchange::~HttpExchange()
{
    *m_destroyed = true;
    if (!m_socket)
        return;
    m_socket->disconnect();
    m_socket->abort();
    m_socket->deleteLater();
}

void HttpExchange::connected()
{
    m_connected = true;
    m_timeout.reset();
    if (m_timeLimit.count() > 0) {
        m_timeout = m_timers.after(m_timeLimit, [this] {
            finish(HttpExchangeEnd::TimedOut, QStringLiteral("no answer in time"));
        });
    }
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->write(m_outgoing);
    m_outgoing.clear();
}

void HttpExchange::readAvailable()
{
    const std::shared_ptr<bool> destroyed = m_destroyed;
    m_incoming += m_socket->readAll();
    boost::beast::error_code error;
    while (!m_incoming.isEmpty() && !m_parser->is_done()) {
        const bool hadHeaders = m_parser->is_header_done();
        const std::size_t used = m_parser->put(
            boost::asio::const_buffer(m_incoming.constData(), size_t(m_incoming.size())), error);
        m_incoming.remove(0, qsizetype(used));
        if (!hadHeaders && m_parser->is_header_done() && m_callbacks.headers) {
            m_callbacks.headers(m_parser->status(), m_parser->headers());
            if (*destroyed)
                return;
        }
        if (error == boost::beast::http::error::need_more || (!error && used == 0))
            break;
        if (error) {
            finish(HttpExchangeEnd::Malformed, QString::fromStdString(error.message()));
            return;
        }
    }
    const QByteArray body = m_parser->takeBody();
    if (!body.isEmpty() && m_callbacks.body) {
        m_callbacks.body(body);
        if (*destroyed)
            return;
    }
    if (m_parser->is_done())
        finish(HttpExchangeEnd::Complete, {});
}

void HttpExchange::closed(const QString &reason)
{
    if (!m_connected) {
        finish(HttpExchangeEnd::NotConnected, reason);
        return;
    }
    const std::shared_ptr<bool> destroyed = m_destroyed;
    if (m_socket->bytesAvailable() > 0)
        readAvailable();
    if (*destroyed || m_finished)
        return;
    // An answer without a length ends with its connection. The parser takes an end before
    // the first byte for a whole answer too, so its headers must have come.
    const bool hadHeaders = m_parser->is_header_done();
    boost::beast::error_code error;
    m_parser->put_eof(error);
    const bool whole = hadHeaders && !error && m_parser->is_done();
    finish(whole ? HttpExchangeEnd::Complete : HttpExchangeEnd::Broken, reason);
}

void HttpExchange::finish(HttpExchangeEnd end, const QString &reason)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timeout.reset();
    m_socket->disconnect();
    const bool reusable = end == HttpExchangeEnd::Complete && m_reuse && m_parser->keep_alive();
    if (reusable) {
        m_pool.give(m_endpoint, m_socket);
    } else {
        m_socket->abort();
        m_socket->deleteLater();
    }
    m_socket = nullptr;
    const auto callback = std::move(m_callbacks.finished);
    if (callback)
        callback(end, reason);
}

} // namespace cranberry
