#pragma once

#include "http/HttpEndpoint.h"

#include <QList>
#include <QTcpServer>

#include <memory>

class QTcpSocket;

namespace cranberry::soak {

/// How a proxy treats the bytes that pass through it.
enum class LinkFault {
    None,
    /// Bytes are forwarded after a delay.
    Delay,
    /// Bytes from the upstream are discarded; the connections stay open.
    DropFromUpstream,
    /// Bytes in both directions are discarded; new connections are accepted but get no data.
    DropAll,
};

/// A loopback TCP proxy that injects link faults into the connections through it.
/// Thread safety: only from the thread of its event loop.
class FaultProxy
{
public:
    explicit FaultProxy(HttpEndpoint destination);
    ~FaultProxy();

    HttpEndpoint endpoint() const;
    void setFault(LinkFault fault) { m_fault = fault; }
    /// Aborts all connections.
    void abortConnections();

private:
    /// One direction of a proxied connection.
    struct Direction {
        QTcpSocket *from = nullptr;
        QTcpSocket *to = nullptr;
        bool isFromUpstream = false;
        /// No more bytes are forwarded. Once bytes were discarded, forwarding later ones would
        /// leave a gap in the stream, which TCP never delivers.
        bool isStopped = false;
        /// Bytes held back by LinkFault::Delay.
        QByteArray pendingBytes;
    };

    void acceptConnections();
    void forward(const std::shared_ptr<Direction> &direction);

    HttpEndpoint m_destination;
    LinkFault m_fault = LinkFault::None;
    QList<QTcpSocket *> m_sockets;
    QTcpServer m_server;
};

} // namespace cranberry::soak
