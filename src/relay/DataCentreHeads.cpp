#include "relay/DataCentreHeads.h"

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

/// The name, place and address of a head, and how many ms ago it was heard.
QCborArray rowOf(const Peer &head, MonotonicTime heard, MonotonicTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - heard);
    return {head.vm.text(), head.dataCentre.text(), head.endpoint.address, head.endpoint.port,
            qint64(age.count())};
}

Peer headOf(const QCborArray &row, MonotonicTime now)
{
    Peer head;
    head.vm = VmId(row.at(0).toString());
    head.dataCentre = DataCentreId(row.at(1).toString());
    head.endpoint = {row.at(2).toString(), quint16(row.at(3).toInteger())};
    head.heard = now - Milliseconds(std::max<qint64>(0, row.at(4).toInteger()));
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
    datagrams.onMessage(DatagramKind::Head,
                        [this](const Peer &from, const QCborArray &rows) { heard(from, rows); });
    datagrams.onMessage(DatagramKind::PassedOn,
                        [this](const Peer &from, const QCborArray &body) { passedOn(from, body); });
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

void DataCentreHeads::tellAll(DatagramKind kind, const QCborArray &body)
{
    m_datagrams.send(m_peers.audience(), kind, body);
    if (m_peers.isSmallFleet())
        return;
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        tell(dataCentre, kind, body);
}

void DataCentreHeads::tell(const DataCentreId &dataCentre, DatagramKind kind,
                           const QCborArray &body)
{
    const QList<Peer> heads = of(dataCentre);
    if (heads.isEmpty())
        return;
    const Peer &self = m_peers.self();
    m_datagrams.send({heads.first()}, DatagramKind::PassedOn,
                     QCborArray{self.vm.text(), self.dataCentre.text(), int(kind), body});
}

void DataCentreHeads::passedOn(const Peer &from, const QCborArray &body)
{
    Peer origin;
    origin.vm = VmId(body.at(0).toString());
    origin.dataCentre = DataCentreId(body.at(1).toString());
    const qint64 kind = body.at(2).toInteger(-1);
    if (!isKind(kind) || kind == qint64(DatagramKind::PassedOn)) {
        logEvent(LogLevel::Warning, EventId::PeerFrameInvalid, {{"from", from.vm.text()}});
        return;
    }
    m_datagrams.deliver(origin, DatagramKind(kind), body.at(3).toArray());
    if (from.dataCentre != m_peers.self().dataCentre)
        m_datagrams.send(m_peers.peersNearby(), DatagramKind::PassedOn, body);
}

QList<Peer> DataCentreHeads::candidates(const DataCentreId &dataCentre) const
{
    QList<Peer> known = of(dataCentre);
    QList<Peer> all = m_peers.peers();
    all.removeIf([&](const Peer &peer) { return peer.dataCentre != dataCentre; });
    // Any daemon passes the message on to its heads; a listed one may have ended.
    while (known.size() < Heads && !all.isEmpty())
        known.append(all.takeAt(QRandomGenerator::global()->bounded(int(all.size()))));
    return known;
}

void DataCentreHeads::announce()
{
    const MonotonicTime limit = m_timers.now() - HeadHolds;
    m_heads.removeIf([limit](const auto &entry) { return entry.value().heard < limit; });
    if (m_peers.isSmallFleet() || !isHead())
        return;
    const QCborArray self{rowOf(m_peers.self(), m_timers.now(), m_timers.now())};
    for (const DataCentreId &dataCentre : m_peers.otherDataCentres())
        m_datagrams.send(candidates(dataCentre), DatagramKind::Head, self);
    if (m_peers.rankNearby() > 0)
        return;
    QCborArray known;
    for (const Peer &head : elsewhere())
        known.append(rowOf(head, head.heard, m_timers.now()));
    m_datagrams.send(m_peers.peersNearby(), DatagramKind::Head, known);
}

void DataCentreHeads::heard(const Peer &from, const QCborArray &rows)
{
    for (const QCborValue value : rows) {
        const Peer head = headOf(value.toArray(), m_timers.now());
        Peer &known = m_heads[head.vm];
        if (head.heard > known.heard)
            known = head;
    }
    const bool isElsewhere = from.dataCentre != m_peers.self().dataCentre;
    if (isElsewhere && !isHead())
        m_datagrams.send(nearbyHeads(), DatagramKind::Head, rows);
}

} // namespace cranberry
