#include "relay/DataCentreHeads.h"

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

/// Two, so that one that dies or is cut off leaves the other.
constexpr int Heads = 2;
constexpr Milliseconds AnnounceInterval{1000};
/// Three announcements and a little more.
constexpr Milliseconds HeadHolds{3300};

void sortByOrder(QList<Peer> &peers)
{
    std::sort(peers.begin(), peers.end(), [](const Peer &a, const Peer &b) {
        return stableHash(a.vm.text()) < stableHash(b.vm.text());
    });
}

} // namespace

DataCentreHeads::DataCentreHeads(TimerService &timers, PeerDirectory &peers,
                                 PeerDatagrams &datagrams)
    : m_peers(peers)
    , m_datagrams(datagrams)
    , m_timers(timers)
    , m_timer(timers.every(AnnounceInterval, [this] { announce(); }))
{
    datagrams.onMessage(DatagramKind::Head, [this](const Peer &from, const QCborArray &body) {
        heard(from, body);
    });
}

DataCentreHeads::~DataCentreHeads() = default;

bool DataCentreHeads::isHead() const
{
    return m_peers.rankNearby() < Heads;
}

QList<Peer> DataCentreHeads::nearbyHeads() const
{
    QList<Peer> heads = m_peers.peersNearby();
    heads.removeIf([this](const Peer &peer) { return !m_peers.isHeard(peer); });
    sortByOrder(heads);
    return heads.first(std::min<qsizetype>(Heads, heads.size()));
}

QList<Peer> DataCentreHeads::of(const DataCentreId &dataCentre) const
{
    QList<Peer> heads;
    // In a small fleet every daemon hears all others.
    if (m_peers.isSmallFleet()) {
        heads = m_peers.peers();
        heads.removeIf([this](const Peer &peer) { return !m_peers.isHeard(peer); });
    } else {
        const MonotonicTime limit = m_timers.now() - HeadHolds;
        heads = m_heads.values();
        heads.removeIf([limit](const Peer &peer) { return peer.heard < limit; });
    }
    heads.removeIf([&](const Peer &peer) { return peer.dataCentre != dataCentre; });
    sortByOrder(heads);
    return heads.first(std::min<qsizetype>(Heads, heads.size()));
}

QList<Peer> DataCentreHeads::elsewhere() const
{
    QList<Peer> heads;
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        heads.append(of(dataCentre));
    return heads;
}

QList<Peer> DataCentreHeads::candidates(const DataCentreId &dataCentre) const
{
    QList<Peer> known = of(dataCentre);
    QList<Peer> all = m_peers.peers();
    all.removeIf([&](const Peer &peer) { return peer.dataCentre != dataCentre; });
    // Any daemon passes the word on to its heads; a listed one may have ended.
    while (known.size() < Heads && !all.isEmpty())
        known.append(all.takeAt(QRandomGenerator::global()->bounded(int(all.size()))));
    return known;
}

void DataCentreHeads::announce()
{
    if (m_peers.isSmallFleet() || !isHead())
        return;
    const Peer &self = m_peers.self();
    const QCborArray body{self.vm.text(), self.dataCentre.text(), self.endpoint.address,
                          self.endpoint.port};
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        m_datagrams.send(candidates(dataCentre), DatagramKind::Head, body);
}

void DataCentreHeads::heard(const Peer &from, const QCborArray &body)
{
    Peer head;
    head.vm = VmId(body.at(0).toString());
    head.dataCentre = DataCentreId(body.at(1).toString());
    head.endpoint = {body.at(2).toString(), quint16(body.at(3).toInteger())};
    head.heard = m_timers.now();
    if (head.dataCentre == m_peers.self().dataCentre)
        return;
    m_heads.insert(head.vm, head);
    const bool isFirstHand = from.vm == head.vm;
    if (isFirstHand && !isHead())
        m_datagrams.send(nearbyHeads(), DatagramKind::Head, body);
}

} // namespace cranberry
