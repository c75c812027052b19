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

/// A TCP listener that enforces HttpServerLimits for QHttpServer. QHttpServer 6.4 buffers requests
/// of any size and waits for them without a timeout. This listener counts the bytes of each
/// connection before QHttpServer reads them. It rejects and closes a connection that exceeds the
/// size limit, rejects connections above the maximum number and aborts those that exceed a time
/// limit. It depends on the order of slots: the listener connects to readyRead before QHttpServer
/// does, and Qt calls slots in the order in which they were connected.
/// Thread safety: only from its own thread.
class BoundedTcpServer : public QTcpServer
{
public:
    BoundedTcpServer(TimerService &timers, HttpServerLimits limits, QObject *parent = nullptr);
    ~BoundedTcpServer() override;

    /// A complete request was received on @p socket and its response is pending; resets the byte
    /// count.
    void requestArrived(QTcpSocket *socket);
    /// The response on @p socket is complete.
    void requestAnswered(QTcpSocket *socket);
    /// True while the response on @p socket is incomplete.
    bool isAnswering(QTcpSocket *socket) const;

    /// Connections on which a part of a request has arrived.
    int receivingConnections() const;
    int openConnections() const { return int(m_connections.size()); }
    /// Bytes of responses that are not yet passed to the system's socket buffers.
    qint64 unsentBytes() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    struct Connection {
        qint64 bytes = 0;
        bool answering = false;
        bool rejected = false;
        /// Start of the current wait: for a request or, after its first byte, for its end.
        MonotonicTime waitingSince;
    };

    void countBytes(QTcpSocket *socket);
    void reject(QTcpSocket *socket, ErrorKind kind, const QString &detail);
    void closeTimedOut();

    TimerService &m_timers;
    const HttpServerLimits m_limits;
    QHash<QTcpSocket *, Connection> m_connections;
    std::unique_ptr<TimerSubscription> m_timeoutTimer;
};

} // namespace cranberry
