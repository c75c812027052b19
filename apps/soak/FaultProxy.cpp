#include "soak/FaultProxy.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

namespace cranberry::soak {

namespace {

constexpr int DelayMilliseconds = 150;

} // namespace

FaultProxy::FaultProxy(HttpEndpoint destination)
    : m_destination(std::move(destination))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

FaultProxy::~FaultProxy()
{
    reset();
}

HttpEndpoint FaultProxy::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

void FaultProxy::accept()
{
    while (QTcpSocket *near = m_server.nextPendingConnection()) {
        auto *far = new QTcpSocket(near);
        m_sockets.append(near);
        QObject::connect(near, &QObject::destroyed, &m_server,
                         [this, near] { m_sockets.removeAll(near); });
        const auto out = std::make_shared<Direction>(Direction{near, far, false, false, {}});
        const auto back = std::make_shared<Direction>(Direction{far, near, true, false, {}});
        QObject::connect(near, &QTcpSocket::readyRead, far, [this, out] { pass(out); });
        QObject::connect(far, &QTcpSocket::readyRead, near, [this, back] { pass(back); });
        QObject::connect(near, &QTcpSocket::disconnected, near, &QObject::deleteLater);
        QObject::connect(far, &QTcpSocket::disconnected, near,
                         [near] { near->disconnectFromHost(); });
        QObject::connect(far, &QTcpSocket::errorOccurred, near, [near, far] {
            if (far->state() != QAbstractSocket::ConnectedState)
                near->disconnectFromHost();
        });
        out->isDead = m_fault == LinkFault::Silent;
        far->connectToHost(QHostAddress(m_destination.address), m_destination.port);
    }
}

void FaultProxy::pass(const std::shared_ptr<Direction> &direction)
{
    const QByteArray data = direction->from->readAll();
    const bool isLost =
        m_fault == LinkFault::Silent || (m_fault == LinkFault::CutBack && direction->isBack);
    direction->isDead = direction->isDead || isLost || !direction->to->isOpen();
    if (direction->isDead)
        return;
    const bool waits = m_fault == LinkFault::Delay || !direction->delayed.isEmpty();
    if (!waits) {
        direction->to->write(data);
        return;
    }
    const bool isFirst = direction->delayed.isEmpty();
    direction->delayed += data;
    if (isFirst)
        QTimer::singleShot(DelayMilliseconds, direction->to, [direction] {
            direction->to->write(std::exchange(direction->delayed, {}));
        });
}

void FaultProxy::reset()
{
    const QList<QTcpSocket *> sockets = m_sockets;
    for (QTcpSocket *socket : sockets)
        socket->abort();
}

} // namespace cranberry::soak
