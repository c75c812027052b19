#include "standins/users/PartitionProxy.h"

#include <QPointer>
#include <QTcpSocket>

namespace cranberry::standin {

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

HttpEndpoint PartitionProxy::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
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
            link->client->abort();
    }
}

void PartitionProxy::removeClosedLinks()
{
    m_links.removeIf([](const std::shared_ptr<Link> &link) { return !link->client; });
}

void PartitionProxy::accept()
{
    while (QTcpSocket *client = m_server.nextPendingConnection()) {
        const int daemon = m_ownerOf(client->peerPort());
        const bool isPartitioned = m_partitioned.contains(daemon);
        QObject::connect(client, &QTcpSocket::disconnected, client, &QObject::deleteLater);
        const bool isReset = m_form == PartitionForm::Reset || m_form == PartitionForm::ResetNew;
        if (isPartitioned && isReset) {
            client->abort();
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
            if (!link->isSilent)
                link->target->write(data);
        });
        QObject::connect(link->target, &QTcpSocket::readyRead, client, [link] {
            const QByteArray data = link->target->readAll();
            if (!link->isSilent)
                link->client->write(data);
        });
        QObject::connect(link->target, &QTcpSocket::disconnected, client, [link] {
            if (!link->isSilent)
                link->client->disconnectFromHost();
        });
        link->target->connectToHost(m_target.address, m_target.port);
    }
}

} // namespace cranberry::standin
