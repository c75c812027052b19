#include "http/HttpServer.h"

#include "http/BoundedTcpServer.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "http/HttpResponse.h"
#include "http/TransferCoding.h"

#include <QHttpServerRequest>
#include <QTcpSocket>
#include <QUrl>

namespace cranberry {

namespace {

QByteArray methodName(QHttpServerRequest::Method method)
{
    using Method = QHttpServerRequest::Method;
    switch (method) {
    case Method::Get:
        return "GET";
    case Method::Put:
        return "PUT";
    case Method::Delete:
        return "DELETE";
    case Method::Post:
        return "POST";
    case Method::Head:
        return "HEAD";
    case Method::Options:
        return "OPTIONS";
    case Method::Patch:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

HttpRequest toHttpRequest(const QHttpServerRequest &request)
{
    HttpRequest result;
    result.method = methodName(request.method());
    result.path = request.url().path(QUrl::FullyEncoded).toUtf8();
    result.query = request.query();
    for (const auto &field : request.headers())
        result.headers.add(field.first, field.second);
    result.body = request.body();
    return result;
}

} // namespace

HttpServer::HttpServer(TimerService &timers, HttpServerLimits limits, Handler handler,
                       QObject *parent)
    : QAbstractHttpServer(parent)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_listener(new BoundedTcpServer(timers, limits, this))
{
}

HttpServer::~HttpServer() = default;

Result<quint16> HttpServer::listenOn(const QHostAddress &address, quint16 port)
{
    if (!m_listener->listen(address, port)) {
        Error error;
        error.kind = ErrorKind::BadRequest;
        error.detail = QStringLiteral("cannot listen on %1:%2: %3")
                           .arg(address.toString())
                           .arg(port)
                           .arg(m_listener->errorString());
        return error;
    }
    bind(m_listener);
    return m_listener->serverPort();
}

void HttpServer::stopListening()
{
    m_listener->close();
}

int HttpServer::openConnections() const
{
    return m_listener->openConnections();
}

int HttpServer::receivingConnections() const
{
    return m_listener->receivingConnections();
}

qint64 HttpServer::unsentBytes() const
{
    return m_listener->unsentBytes();
}

bool HttpServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    // QHttpServer would interleave the responses to pipelined requests, so callers that pipeline
    // are disconnected.
    if (m_listener->isAnswering(socket)) {
        socket->abort();
        return true;
    }
    const HttpRequest incoming = toHttpRequest(request);
    if (hasOtherTransferCoding(incoming.headers)) {
        socket->abort();
        return true;
    }
    m_listener->requestArrived(socket);
    auto responder = std::make_shared<HttpResponder>(makeResponder(request, socket), socket,
                                                     m_limits.maxUnreadResponse);
    responder->onComplete([this, socket = QPointer<QTcpSocket>(socket)] {
        if (socket)
            m_listener->requestAnswered(socket);
    });
    if (incoming.headers.wireSize() > m_limits.headers.value()) {
        Error error;
        error.kind = ErrorKind::HeadersTooLarge;
        error.detail =
            QStringLiteral("the headers are larger than %1 bytes").arg(m_limits.headers.value());
        responder->send({errorAnswer(error.kind).httpStatus,
                         {{"Content-Type", "application/problem+json"}, {"Cranberry-Ran", "no"}},
                         problemJson(error)});
        return true;
    }
    m_handler(incoming, std::move(responder));
    return true;
}

void HttpServer::missingHandler(const QHttpServerRequest &request, QTcpSocket *socket)
{
    Q_UNUSED(request)
    socket->abort();
}

} // namespace cranberry
