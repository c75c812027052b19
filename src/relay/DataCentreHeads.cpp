#include "relay/DataCentreHeads.h"

#include "base/BoundedDuration.h"
#include "base/EventLog.h"
#include "base/StableHash.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"

#include <QCborArray>
#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

/// With two heads, one may die or be cut off.
constexpr int HeadsPerDataCentre = 2;
constexpr Milliseconds AnnounceInterval{1000};
/// Three announcement intervals and a margin.
constexpr Milliseconds HeadTimeout{3300};

void sortByRank(QList<Peer> &peers)
{
    std::sort(peers.begin(), peers.end(), [](const Peer &a, const Peer &b) {
        return stableHash(a.vm.text()) < stableHash(b.vm.text());
    });
}

/// Encodes the name, data centre and address of a head, and the milliseconds since it was heard.
QCborArray encodeHead(const Peer &head, MonotonicTime heard, MonotonicTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - heard);
    return {head.vm.text(), head.dataCentre.text(), head.endpoint.address, head.endpoint.port,
            qint64(age.count())};
}

Peer decodeHead(const QCborArray &row, MonotonicTime now)
{
    Peer head;
    head.vm = VmId(row.at(0).toString());
    head.dataCentre = DataCentreId(row.at(1).toString());
    head.endpoint = {row.at(2).toString(), quint16(row.at(3).toInteger())};
    head.lastMessage = now - boundedDuration(row.at(4).toInteger());
    return head;
}

} // namespace

DataCentreHeads::DataCentreHeads(TimerService &timers, PeerDirectory &peers,
                                 PeerDatagrams &datagrams)
    : m_peers(peers)
    , m_datagrams(datagrams)
    , m_timers(timers)
    , m_timer(timers.every(AnnounceInterval, [this] { announce(); }))
{
    datagrams.onMessage(DatagramKind::Head, [this](const Peer &from, const QCborArray &rows) {
        handleHeads(from, rows);
    });
    datagrams.onMessage(DatagramKind::Forwarded, [this](const Peer &from, const QCborArray &body) {
        handleForwarded(from, body);
    });
}

DataCentreHeads::~DataCentreHeads() = default;

bool DataCentreHeads::isHead() const
{
    return m_peers.localRank() < HeadsPerDataCentre;
}

QList<Peer> DataCentreHeads::localHeads() const
{
    QList<Peer> heads = m_peers.localPeers();
    heads.removeIf([this](const Peer &peer) { return !m_peers.isRecentlyHeard(peer); });
    sortByRank(heads);
    return heads.first(std::min<qsizetype>(HeadsPerDataCentre, heads.size()));
}

QList<Peer> DataCentreHeads::headsOf(const DataCentreId &dataCentre) const
{
    QList<Peer> heads;
    // In a small fleet every daemon hears all others.
    if (m_peers.isSmallFleet()) {
        heads = m_peers.peers();
        heads.removeIf([this](const Peer &peer) { return !m_peers.isRecentlyHeard(peer); });
    } else {
        const MonotonicTime limit = m_timers.now() - HeadTimeout;
        heads = m_heads.values();
        heads.removeIf([limit](const Peer &peer) { return peer.lastMessage < limit; });
    }
    heads.removeIf([&](const Peer &peer) { return peer.dataCentre != dataCentre; });
    sortByRank(heads);
    return heads.first(std::min<qsizetype>(HeadsPerDataCentre, heads.size()));
}

QList<Peer> DataCentreHeads::remoteHeads() const
{
    QList<Peer> heads;
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        heads.append(headsOf(dataCentre));
    return heads;
}

void DataCentreHeads::sendToAll(DatagramKind kind, const QCborArray &body)
{
    m_datagrams.send(m_peers.directReceivers(), kind, body);
    if (m_peers.isSmallFleet())
        return;
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        sendTo(dataCentre, kind, body);
}

void DataCentreHeads::sendTo(const DataCentreId &dataCentre, DatagramKind kind,
                             const QCborArray &body)
{
    const QList<Peer> heads = headsOf(dataCentre);
    if (heads.isEmpty())
        return;
    const Peer &self = m_peers.self();
    m_datagrams.send({heads.first()}, DatagramKind::Forwarded,
                     QCborArray{self.vm.text(), self.dataCentre.text(), int(kind), body});
}

void DataCentreHeads::handleForwarded(const Peer &from, const QCborArray &body)
{
    Peer origin;
    origin.vm = VmId(body.at(0).toString());
    origin.dataCentre = DataCentreId(body.at(1).toString());
    const qint64 kind = body.at(2).toInteger(-1);
    if (!isDatagramKind(kind) || kind == qint64(DatagramKind::Forwarded)) {
        logEvent(LogLevel::Warning, EventId::PeerFrameInvalid, {{"from", from.vm.text()}});
        return;
    }
    m_datagrams.deliver(origin, DatagramKind(kind), body.at(3).toArray());
    if (from.dataCentre != m_peers.self().dataCentre)
        m_datagrams.send(m_peers.localPeers(), DatagramKind::Forwarded, body);
}

QList<Peer> DataCentreHeads::candidates(const DataCentreId &dataCentre) const
{
    QList<Peer> known = headsOf(dataCentre);
    QList<Peer> all = m_peers.peers();
    all.removeIf([&](const Peer &peer) { return peer.dataCentre != dataCentre; });
    // Any daemon forwards the announcement to its heads; a listed daemon may have ended.
    while (known.size() < HeadsPerDataCentre && !all.isEmpty())
        known.append(all.takeAt(QRandomGenerator::global()->bounded(int(all.size()))));
    return known;
}

void DataCentreHeads::announce()
{
    const MonotonicTime limit = m_timers.now() - HeadTimeout;
    m_heads.removeIf([limit](const auto &entry) { return entry.value().lastMessage < limit; });
    if (m_peers.isSmallFleet() || !isHead())
        return;
    const QCborArray self{encodeHead(m_peers.self(), m_timers.now(), m_timers.now())};
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        m_datagrams.send(candidates(dataCentre), DatagramKind::Head, self);
    if (m_peers.localRank() > 0)
        return;
    QCborArray known;
    for (const Peer &head : remoteHeads())
        known.append(encodeHead(head, head.lastMessage, m_timers.now()));
    m_datagrams.send(m_peers.localPeers(), DatagramKind::Head, known);
}

void DataCentreHeads::handleHeads(const Peer &from, const QCborArray &rows)
{
    for (const QCborValue value : rows) {
        const Peer head = decodeHead(value.toArray(), m_timers.now());
        Peer &known = m_heads[head.vm];
        if (head.lastMessage > known.lastMessage)
            known = head;
    }
    const bool isElsewhere = from.dataCentre != m_peers.self().dataCentre;
    if (isElsewhere && !isHead())
        m_datagrams.send(localHeads(), DatagramKind::Head, rows);
}

} // namespace cranberry
