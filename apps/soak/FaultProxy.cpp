#include "soak/FaultProxy.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

namespace cranberry::soak {

namespace {

constexpr int DelayMs = 150;

} // namespace

FaultProxy::FaultProxy(HttpEndpoint destination)
    : m_destination(std::move(destination))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server,
                     [this] { acceptConnections(); });
}

FaultProxy::~FaultProxy()
{
    abortConnections();
}

HttpEndpoint FaultProxy::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

void FaultProxy::acceptConnections()
{
    while (QTcpSocket *client = m_server.nextPendingConnection()) {
        auto *upstream = new QTcpSocket(client);
        m_sockets.append(client);
        QObject::connect(client, &QObject::destroyed, &m_server,
                         [this, client] { m_sockets.removeAll(client); });
        const auto request =
            std::make_shared<Direction>(Direction{client, upstream, false, false, {}});
        const auto response =
            std::make_shared<Direction>(Direction{upstream, client, true, false, {}});
        QObject::connect(client, &QTcpSocket::readyRead, upstream,
                         [this, request] { forward(request); });
        QObject::connect(upstream, &QTcpSocket::readyRead, client,
                         [this, response] { forward(response); });
        QObject::connect(client, &QTcpSocket::disconnected, client, &QObject::deleteLater);
        QObject::connect(upstream, &QTcpSocket::disconnected, client,
                         [client] { client->disconnectFromHost(); });
        QObject::connect(upstream, &QTcpSocket::errorOccurred, client, [client, upstream] {
            if (upstream->state() != QAbstractSocket::ConnectedState)
                client->disconnectFromHost();
        });
        request->isStopped = m_fault == LinkFault::DropAll;
        upstream->connectToHost(QHostAddress(m_destination.address), m_destination.port);
    }
}

void FaultProxy::forward(const std::shared_ptr<Direction> &direction)
{
    const QByteArray data = direction->from->readAll();
    const bool isDropped = m_fault == LinkFault::DropAll
        || (m_fault == LinkFault::DropFromUpstream && direction->isFromUpstream);
    direction->isStopped = direction->isStopped || isDropped || !direction->to->isOpen();
    if (direction->isStopped)
        return;
    const bool isDelayed = m_fault == LinkFault::Delay || !direction->pendingBytes.isEmpty();
    if (!isDelayed) {
        direction->to->write(data);
        return;
    }
    const bool isFirst = direction->pendingBytes.isEmpty();
    direction->pendingBytes += data;
    if (isFirst)
        QTimer::singleShot(DelayMs, direction->to, [direction] {
            direction->to->write(std::exchange(direction->pendingBytes, {}));
        });
}

void FaultProxy::abortConnections()
{
    const QList<QTcpSocket *> sockets = m_sockets;
    for (QTcpSocket *socket : sockets)
        socket->abort();
}

} // namespace cranberry::soak
