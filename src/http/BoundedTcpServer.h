// Defines BoundedTcpServer, the listener that bounds what QHttpServer would buffer.
#pragma once

#include "base/ErrorKind.h"
#include "http/HttpServerLimits.h"

#include <QHash>
#include <QTcpServer>

#include <memory>

class QTcpSocket;

namespace cranberry {

class TimerService;
class TimerSubscription;

/// QHttpServer 6.4 buffers a request of any size and waits for it for ever. This listener
/// counts the bytes of each connection before QHttpServer reads them, answers and closes a
/// connection that passes a limit, and refuses connections over the limit of their number.
/// The guard holds because the listener connects to readyRead before QHttpServer does, and
/// Qt calls slots in the order of their connection.
/// Thread safety: only from its own thread.
class BoundedTcpServer : public QTcpServer
{
public:
    BoundedTcpServer(TimerService &timers, HttpServerLimits limits, QObject *parent = nullptr);
    ~BoundedTcpServer() override;

    /// A request on @p socket arrived whole and is being answered; counting starts anew.
    void requestArrived(QTcpSocket *socket);
    /// The answer on @p socket is complete.
    void requestAnswered(QTcpSocket *socket);
    /// True while an answer on @p socket is not complete.
    bool isAnswering(QTcpSocket *socket) const;

    int openConnections() const { return int(m_connections.size()); }
    qint64 unsentBytes() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    struct Connection {
        qint64 bytes = 0;
        bool answering = false;
        bool rejected = false;
        MonotonicTime since;
    };

    void countBytes(QTcpSocket *socket);
    void reject(QTcpSocket *socket, ErrorKind kind, const QString &detail);
    void closeOverdue();

    TimerService &m_timers;
    const HttpServerLimits m_limits;
    QHash<QTcpSocket *, Connection> m_connections;
    std::unique_ptr<TimerSubscription> m_sweep;
};

} // namespace cranberry
