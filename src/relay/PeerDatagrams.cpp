#include "relay/PeerDatagrams.h"

#include "base/EventLog.h"
#include "relay/CborDocument.h"
#include "relay/PeerDirectory.h"

#include <QCborValue>
#include <QNetworkDatagram>
#include <QUdpSocket>

namespace cranberry {

namespace {

/// Keeps a message within one datagram.
constexpr qsizetype MaxUnreachable = 8;

} // namespace

bool isDatagramKind(qint64 kind)
{
    return kind >= 0 && kind < qint64(DatagramKindCount);
}

PeerDatagrams::PeerDatagrams(PeerDirectory &peers)
    : m_peers(peers)
{
}

PeerDatagrams::~PeerDatagrams() = default;

bool PeerDatagrams::listenOn(const HttpEndpoint &endpoint)
{
    m_socket = std::make_unique<QUdpSocket>();
    QObject::connect(m_socket.get(), &QUdpSocket::readyRead, m_socket.get(),
                     [this] { readDatagrams(); });
    return m_socket->bind(QHostAddress(endpoint.address), endpoint.port);
}

void PeerDatagrams::setVersionCallbacks(std::function<qint64()> version,
                                        std::function<void(const Peer &from, qint64 version)> newer)
{
    m_version = std::move(version);
    m_onNewerVersion = std::move(newer);
}

void PeerDatagrams::setUnreachableCallbacks(std::function<QList<ServiceId>()> unreachable,
                                            std::function<void(const Peer &from)> reported)
{
    m_unreachable = std::move(unreachable);
    m_onUnreachable = std::move(reported);
}

void PeerDatagrams::onMessage(DatagramKind kind, Handler handler)
{
    m_handlers[std::size_t(kind)] = std::move(handler);
}

void PeerDatagrams::send(const QList<Peer> &receivers, DatagramKind kind, const QCborArray &body)
{
    if (!m_socket)
        return;
    const Peer &self = m_peers.self();
    QCborArray message{self.vm.text(), self.dataCentre.text(), int(kind), body,
                       m_version(),    self.isDraining};
    QCborArray unreachable;
    for (const ServiceId &service : m_unreachable()) {
        if (unreachable.size() < MaxUnreachable)
            unreachable.append(service.text());
    }
    if (!unreachable.isEmpty())
        message.append(unreachable);
    const QByteArray datagram = QCborValue(message).toCbor();
    for (const Peer &peer : receivers)
        m_socket->writeDatagram(datagram, QHostAddress(peer.endpoint.address), peer.endpoint.port);
}

void PeerDatagrams::readDatagrams()
{
    while (m_socket->hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket->receiveDatagram();
        const std::optional<QCborValue> document = decodeCborDocument(datagram.data());
        const QCborArray message = document ? document->toArray() : QCborArray();
        Peer peer;
        peer.vm = VmId(message.at(0).toString());
        peer.dataCentre = DataCentreId(message.at(1).toString());
        peer.configurationVersion = message.at(4).toInteger();
        peer.isDraining = message.at(5).toBool();
        for (const QCborValue service : message.at(6).toArray())
            peer.unreachable.insert(ServiceId(service.toString()));
        peer.endpoint = {datagram.senderAddress().toString(), quint16(datagram.senderPort())};
        const qint64 kind = message.at(2).toInteger(-1);
        if (!isDatagramKind(kind) || peer.vm.isEmpty()) {
            logEvent(LogLevel::Warning, EventId::PeerFrameInvalid,
                     {{"from", peer.endpoint.address}});
            continue;
        }
        const Peer *known = m_peers.find(peer.vm);
        const bool isNews = !peer.unreachable.isEmpty()
            && (!known || !known->unreachable.contains(peer.unreachable));
        m_peers.recordMessage(peer);
        if (m_onNewerVersion && peer.configurationVersion > m_version())
            m_onNewerVersion(peer, peer.configurationVersion);
        if (isNews)
            m_onUnreachable(peer);
        deliver(peer, DatagramKind(kind), message.at(3).toArray());
    }
}

void PeerDatagrams::deliver(const Peer &from, DatagramKind kind, const QCborArray &body) const
{
    if (const Handler &handler = m_handlers[std::size_t(kind)])
        handler(from, body);
}

} // namespace cranberry
