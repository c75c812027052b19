#include "standins/users/PartitionProxy.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <sys/socket.h>

namespace cranberry::standin {

namespace {

bool isUsable(const QTcpSocket &socket)
{
    return socket.state() == QAbstractSocket::ConnectedState
        || socket.state() == QAbstractSocket::ConnectingState;
}

/// QTcpSocket::abort() alone closes in order.
void reset(QTcpSocket &socket)
{
    const linger abortive{1, 0};
    (void)::setsockopt(int(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &abortive,
                       sizeof(abortive));
    socket.abort();
}

} // namespace

struct PartitionProxy::Link {
    QPointer<QTcpSocket> client;
    QPointer<QTcpSocket> target;
    int daemon = -1;
    /// Bytes were lost, so that no later ones can be delivered.
    bool isSilent = false;
};

const char *partitionFormName(PartitionForm form)
{
    switch (form) {
    case PartitionForm::Hang:
        return "hang";
    case PartitionForm::Reset:
        return "reset";
    case PartitionForm::ResetNew:
        return "reset new";
    case PartitionForm::HangNew:
        return "hang new";
    case PartitionForm::CloseNew:
        return "close new";
    }
    return "unknown";
}

PartitionProxy::PartitionProxy(const HttpEndpoint &target, OwnerLookup ownerOf)
    : m_target(target)
    , m_ownerOf(std::move(ownerOf))
{
    m_server.listen(QHostAddress::LocalHost);
    m_endpoint = {QStringLiteral("127.0.0.1"), m_server.serverPort()};
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

PartitionProxy::~PartitionProxy()
{
    for (const std::shared_ptr<Link> &link : std::as_const(m_links)) {
        if (link->client)
            link->client->disconnect();
        delete link->client;
    }
}

void PartitionProxy::stopListeningFor(Milliseconds time)
{
    m_server.close();
    QTimer::singleShot(time, &m_server, [this] {
        if (!m_server.isListening())
            m_server.listen(QHostAddress::LocalHost, m_endpoint.port);
    });
}

void PartitionProxy::partition(const QSet<int> &daemons, PartitionForm form)
{
    m_partitioned = daemons;
    m_form = form;
    removeClosedLinks();
    const QList<std::shared_ptr<Link>> links = m_links;
    for (const std::shared_ptr<Link> &link : links) {
        if (!daemons.contains(link->daemon) || !link->client)
            continue;
        if (form == PartitionForm::Hang)
            link->isSilent = true;
        else if (form == PartitionForm::Reset)
            reset(*link->client);
    }
}

void PartitionProxy::removeClosedLinks()
{
    m_links.removeIf([](const std::shared_ptr<Link> &link) { return !link->client; });
}

void PartitionProxy::accept()
{
    while (QTcpSocket *client = m_server.nextPendingConnection()) {
        const int daemon = m_ownerOf(client->peerPort(), client->localPort());
        const bool isPartitioned = m_partitioned.contains(daemon);
        QObject::connect(client, &QTcpSocket::disconnected, client, &QObject::deleteLater);
        const bool isReset = m_form == PartitionForm::Reset || m_form == PartitionForm::ResetNew;
        if (isPartitioned && isReset) {
            reset(*client);
            continue;
        }
        if (isPartitioned && m_form == PartitionForm::CloseNew) {
            client->disconnectFromHost();
            continue;
        }
        const auto link = std::make_shared<Link>();
        link->client = client;
        link->target = new QTcpSocket(client);
        link->daemon = daemon;
        link->isSilent = isPartitioned;
        removeClosedLinks();
        m_links.append(link);
        QObject::connect(client, &QTcpSocket::readyRead, link->target, [link] {
            const QByteArray data = link->client->readAll();
            if (!link->isSilent && isUsable(*link->target))
                link->target->write(data);
        });
        QObject::connect(link->target, &QTcpSocket::readyRead, client, [link] {
            const QByteArray data = link->target->readAll();
            if (!link->isSilent && isUsable(*link->client))
                link->client->write(data);
        });
        QObject::connect(link->target, &QTcpSocket::errorOccurred, client,
                         [link](QAbstractSocket::SocketError error) {
                             if (link->isSilent)
                                 return;
                             // Only an orderly close of the target is passed on as one.
                             if (error == QAbstractSocket::RemoteHostClosedError)
                                 link->client->disconnectFromHost();
                             else
                                 reset(*link->client);
                         });
        link->target->connectToHost(m_target.address, m_target.port);
    }
}

} // namespace cranberry::standin
