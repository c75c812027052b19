// Defines FaultProxy, a loopback TCP proxy that harms the connections through it.
#pragma once

#include "http/HttpEndpoint.h"

#include <QList>
#include <QTcpServer>

#include <memory>

class QTcpSocket;

namespace cranberry::soak {

/// What a proxy does with bytes now.
enum class LinkFault {
    None,
    /// Bytes wait for a while.
    Delay,
    /// Bytes from the far side are lost, without a word.
    CutBack,
    /// Both directions are silent; new connections hang.
    Silent,
};

/// Thread safety: only from the thread of its event loop.
class FaultProxy
{
public:
    explicit FaultProxy(HttpEndpoint destination);
    ~FaultProxy();

    HttpEndpoint endpoint() const;
    void setFault(LinkFault fault) { m_fault = fault; }
    /// Breaks all connections off.
    void reset();

private:
    /// One direction of one connection.
    struct Direction {
        QTcpSocket *from = nullptr;
        QTcpSocket *to = nullptr;
        bool isBack = false;
        /// Bytes were lost: as TCP delivers in order or not at all, nothing follows.
        bool isDead = false;
        QByteArray delayed;
    };

    void accept();
    void pass(const std::shared_ptr<Direction> &direction);

    HttpEndpoint m_destination;
    LinkFault m_fault = LinkFault::None;
    QList<QTcpSocket *> m_sockets;
    QTcpServer m_server;
};

} // namespace cranberry::soak
