#pragma once

#include "base/Result.h"
#include "http/HttpServerLimits.h"

#include <QAbstractHttpServer>
#include <QHostAddress>

#include <functional>
#include <memory>

namespace cranberry {

class BoundedTcpServer;
class HttpResponder;
class TimerService;
struct HttpRequest;

/// An HTTP/1.1 server that limits the resources a caller can hold. Passes each request to one
/// handler, which may respond synchronously or later.
/// Thread safety: only from its own thread; handlers run in it.
class HttpServer final : public QAbstractHttpServer
{
public:
    using Handler =
        std::function<void(const HttpRequest &request, std::shared_ptr<HttpResponder> responder)>;

    HttpServer(TimerService &timers, HttpServerLimits limits, Handler handler,
               QObject *parent = nullptr);
    ~HttpServer() override;

    /// Starts listening and returns the port; port 0 selects a free one.
    /// Precondition: not listening. Error: BadRequest with the system's error message.
    Result<quint16> listenOn(const QHostAddress &address, quint16 port);

    /// Stops accepting connections; open ones remain open.
    void stopListening();

    int openConnections() const;
    /// Connections on which a part of a request has arrived.
    int receivingConnections() const;
    /// Bytes of responses that are not yet passed to the system's socket buffers.
    qint64 unsentBytes() const;

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    const HttpServerLimits m_limits;
    Handler m_handler;
    BoundedTcpServer *m_listener;
};

} // namespace cranberry
