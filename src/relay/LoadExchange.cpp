#include "relay/LoadExchange.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDirectory.h"
#include "relay/TargetDirectory.h"

#include <QCborArray>
#include <QCborValue>
#include <QNetworkDatagram>
#include <QUdpSocket>

namespace cranberry {

namespace {

/// Changes within this time go out together.
constexpr Milliseconds SendDelay{10};
/// Figures are repeated this often, so that a lost datagram misleads no longer than that.
constexpr Milliseconds RefreshInterval{1500};
/// Up to this many peers, data centres tell each other as well: about 0.6 KB/s for each.
constexpr int SmallFleet = 12;
/// Bytes that one datagram carries on any path.
constexpr qsizetype MostEntries = 20;

} // namespace

LoadExchange::LoadExchange(TimerService &timers, PeerDirectory &peers, TargetDirectory &targets)
    : m_timers(timers)
    , m_peers(peers)
    , m_targets(targets)
    , m_refresh(timers.every(RefreshInterval, [this] { refresh(); }))
{
}

LoadExchange::~LoadExchange() = default;

bool LoadExchange::listenOn(const HttpEndpoint &endpoint)
{
    m_socket = std::make_unique<QUdpSocket>();
    QObject::connect(m_socket.get(), &QUdpSocket::readyRead, m_socket.get(),
                     [this] { received(); });
    return m_socket->bind(QHostAddress(endpoint.address), endpoint.port);
}

void LoadExchange::changed(const TargetId &target)
{
    m_changed.insert(target);
    if (m_soon)
        return;
    m_soon = m_timers.after(SendDelay, [this] {
        m_soon.reset();
        send(std::exchange(m_changed, {}));
    });
}

void LoadExchange::refresh()
{
    const QList<TargetId> used = m_targets.usedByThisDaemon();
    send(QSet<TargetId>(used.cbegin(), used.cend()));
}

void LoadExchange::send(const QSet<TargetId> &targets)
{
    const Peer &self = m_peers.self();
    QCborArray entries;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && entries.size() < MostEntries)
            entries.append(QCborArray{target.text(), record->ownRunning, record->ownTokens.value(),
                                      record->ownUnread.value()});
    }
    if (entries.isEmpty() || !m_socket)
        return;
    const QByteArray datagram =
        QCborValue(QCborArray{self.vm.text(), self.dataCentre.text(), entries}).toCbor();
    const QList<Peer> peers = m_peers.peers();
    const bool toAll = peers.size() <= SmallFleet;
    for (const Peer &peer : peers) {
        if (toAll || peer.dataCentre == self.dataCentre)
            m_socket->writeDatagram(datagram, QHostAddress(peer.endpoint.address),
                                    peer.endpoint.port);
    }
}

void LoadExchange::received()
{
    while (m_socket->hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket->receiveDatagram();
        const QCborArray message = QCborValue::fromCbor(datagram.data()).toArray();
        Peer peer;
        peer.vm = VmId(message.at(0).toString());
        peer.dataCentre = DataCentreId(message.at(1).toString());
        peer.endpoint = {datagram.senderAddress().toString(), quint16(datagram.senderPort())};
        if (peer.vm.isEmpty()) {
            logEvent(LogLevel::Warning, EventId::PeerFrameInvalid,
                     {{"from", peer.endpoint.address}});
            continue;
        }
        m_peers.heard(peer);
        for (const QCborValue &entry : message.at(2).toArray())
            take(peer.vm, entry.toArray());
    }
}

void LoadExchange::take(const VmId &peer, const QCborArray &entry)
{
    PeerLoad load;
    load.running = int(entry.at(1).toInteger());
    load.tokens = Tokens(entry.at(2).toInteger());
    load.unread = Tokens(entry.at(3).toInteger());
    load.heard = m_timers.now();
    m_targets.peerLoad(TargetId(entry.at(0).toString()), peer, load);
}

} // namespace cranberry
