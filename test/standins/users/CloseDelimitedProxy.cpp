#include "standins/users/CloseDelimitedProxy.h"

#include <QTcpSocket>
#include <QTimer>

namespace cranberry::standin {

namespace {

const QByteArray ChunkedHeader = "Transfer-Encoding: chunked\r\n";
const QByteArray EndOfHead = "\r\n\r\n";

} // namespace

struct CloseDelimitedProxy::Link {
    QTcpSocket *client = nullptr;
    QTcpSocket *target = nullptr;
    /// Bytes of the target that are not forwarded yet.
    QByteArray received;
    bool isStream = false;
    bool isEnded = false;
};

CloseDelimitedProxy::CloseDelimitedProxy(const HttpEndpoint &target)
    : m_target(target)
{
    m_server.listen(QHostAddress::LocalHost);
    m_endpoint = {QStringLiteral("127.0.0.1"), m_server.serverPort()};
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

CloseDelimitedProxy::~CloseDelimitedProxy() = default;

void CloseDelimitedProxy::setListening(bool listening)
{
    if (!listening)
        m_server.close();
    else if (!m_server.isListening())
        m_server.listen(QHostAddress::LocalHost, m_endpoint.port);
}

void CloseDelimitedProxy::stopListeningFor(Milliseconds time)
{
    setListening(false);
    QTimer::singleShot(time, &m_server, [this] { setListening(true); });
}

void CloseDelimitedProxy::accept()
{
    while (QTcpSocket *client = m_server.nextPendingConnection()) {
        const auto link = std::make_shared<Link>();
        link->client = client;
        // Each socket deletes the other one, and with it the callbacks that share the link.
        link->target = new QTcpSocket(client);
        QObject::connect(client, &QTcpSocket::readyRead, link->target,
                         [link] { link->target->write(link->client->readAll()); });
        QObject::connect(client, &QTcpSocket::disconnected, link->target, [link] {
            link->isEnded = true;
            link->target->abort();
            link->client->deleteLater();
        });
        QObject::connect(link->target, &QTcpSocket::readyRead, client,
                         [this, link] { forwardAnswer(link); });
        QObject::connect(link->target, &QTcpSocket::disconnected, client,
                         [this, link] { targetClosed(link); });
        link->target->connectToHost(m_target.address, m_target.port);
    }
}

void CloseDelimitedProxy::forwardAnswer(const std::shared_ptr<Link> &link)
{
    if (link->isEnded)
        return;
    link->received += link->target->readAll();
    const qsizetype header = link->received.indexOf(ChunkedHeader);
    if (!link->isStream && header >= 0 && link->received.contains(EndOfHead)) {
        link->isStream = true;
        link->received.remove(header, ChunkedHeader.size());
        const qsizetype headSize = link->received.indexOf(EndOfHead) + EndOfHead.size();
        link->client->write(link->received.left(headSize));
        link->received.remove(0, headSize);
    }
    if (link->isStream)
        forwardChunks(link);
    else if (header < 0)
        link->client->write(std::exchange(link->received, {}));
}

void CloseDelimitedProxy::forwardChunks(const std::shared_ptr<Link> &link)
{
    for (;;) {
        const qsizetype line = link->received.indexOf("\r\n");
        const qsizetype size = link->received.left(line).toLongLong(nullptr, 16);
        if (line < 0 || link->received.size() < line + 2 + size + 2)
            return;
        if (size == 0) {
            link->isEnded = true;
            link->client->disconnectFromHost();
            return;
        }
        link->client->write(link->received.mid(line + 2, size));
        link->received.remove(0, line + 2 + size + 2);
    }
}

void CloseDelimitedProxy::targetClosed(const std::shared_ptr<Link> &link)
{
    if (link->isEnded)
        return;
    link->isEnded = true;
    if (link->isStream)
        link->client->write(m_tornBytes);
    link->client->disconnectFromHost();
}

} // namespace cranberry::standin
