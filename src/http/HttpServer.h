// Defines HttpServer, an HTTP/1.1 server with bounds on what callers can make it hold.
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

/// Hands each request to one handler, which answers now or later.
/// Thread safety: only from its own thread; handlers run in it.
class HttpServer final : public QAbstractHttpServer
{
public:
    using Handler =
        std::function<void(const HttpRequest &request, std::shared_ptr<HttpResponder> responder)>;

    HttpServer(TimerService &timers, HttpServerLimits limits, Handler handler,
               QObject *parent = nullptr);
    ~HttpServer() override;

    /// Starts to listen; port 0 takes a free one. Returns the port.
    /// Precondition: not listening. Error: BadRequest with the system's reason.
    Result<quint16> listenOn(const QHostAddress &address, quint16 port);

    /// Accepts no further connections; open ones stay.
    void stopListening();

    int openConnections() const;
    /// Bytes of answers that have not reached the system's socket buffers yet.
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
