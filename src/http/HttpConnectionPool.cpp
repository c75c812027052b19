#include "http/HttpConnectionPool.h"

#include <QTcpSocket>

namespace cranberry {

namespace {

constexpr int IdlePerEndpoint = 16;

QString endpointKey(const HttpEndpoint &endpoint)
{
    return endpoint.address + u':' + QString::number(endpoint.port);
}

} // namespace

HttpConnectionPool::~HttpConnectionPool()
{
    for (const auto &sockets : std::as_const(m_idle)) {
        for (const QPointer<QTcpSocket> &socket : sockets)
            delete socket.data();
    }
}

QTcpSocket *HttpConnectionPool::take(const HttpEndpoint &endpoint)
{
    auto &sockets = m_idle[endpointKey(endpoint)];
    while (!sockets.isEmpty()) {
        const QPointer<QTcpSocket> socket = sockets.takeLast();
        if (!socket)
            continue;
        socket->disconnect();
        const bool usable =
            socket->state() == QAbstractSocket::ConnectedState && socket->bytesAvailable() == 0;
        if (usable)
            return socket;
        socket->deleteLater();
    }
    return nullptr;
}

void HttpConnectionPool::give(const HttpEndpoint &endpoint, QTcpSocket *socket)
{
    auto &sockets = m_idle[endpointKey(endpoint)];
    if (sockets.size() >= IdlePerEndpoint) {
        socket->deleteLater();
        return;
    }
    QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    sockets.append(socket);
}

} // namespace cranberry
