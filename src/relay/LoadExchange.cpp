#include "relay/LoadExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RetryShare.h"
#include "relay/TargetDirectory.h"

#include <QCborArray>
#include <QCborValue>

namespace cranberry {

namespace {

/// Changes within this time go out together: what is placed soon, as others choose meanwhile, what
/// has ended later.
constexpr Milliseconds PlacedDelay{10};
constexpr Milliseconds EndedDelay{100};
/// Figures are repeated this often, so that a lost datagram misleads no longer than that.
constexpr Milliseconds RefreshInterval{1500};
/// What a whole data centre has at each engine goes to the others this often. Without it the
/// engines of another data centre looked empty and were chosen: in a fleet of 78, 255 of 455
/// moves found no room.
constexpr Milliseconds SummaryInterval{500};
/// Targets in one datagram: about 60 bytes each, together under the 1,400 that any path carries.
constexpr qsizetype MostEntries = 20;

} // namespace

LoadExchange::LoadExchange(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                           TargetDirectory &targets, RetryShare &retries)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_targets(targets)
    , m_retries(retries)
    , m_refresh(timers.every(RefreshInterval, [this] { refresh(); }))
    , m_summary(timers.every(SummaryInterval, [this] { summarise(); }))
{
    datagrams.onMessage(DatagramKind::Summary,
                        [this](const Peer &, const QCborArray &body) { takeSummary(body); });
    datagrams.onMessage(DatagramKind::Load,
                        [this](const Peer &from, const QCborArray &body) { take(from, body); });
}

LoadExchange::~LoadExchange() = default;

void LoadExchange::changed(const TargetId &target, bool isMore)
{
    m_changed.insert(target);
    const Milliseconds delay = isMore ? PlacedDelay : EndedDelay;
    const MonotonicTime due = m_timers.now() + delay;
    if (m_soon && m_due <= due)
        return;
    m_due = due;
    m_soon = m_timers.after(delay, [this] {
        m_soon.reset();
        const QSet<TargetId> targets = std::exchange(m_changed, {});
        send(loadsOf(targets), {});
        tellOwners(targets);
    });
}

void LoadExchange::refresh()
{
    const QList<TargetId> used = m_targets.usedByThisDaemon();
    const QSet<TargetId> targets(used.cbegin(), used.cend());
    send(loadsOf(targets), retryCounts());
    tellOwners(targets);
}

QCborArray LoadExchange::loadsOf(const QSet<TargetId> &targets) const
{
    QCborArray loads;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && loads.size() < MostEntries)
            loads.append(QCborArray{target.text(), record->ownRunning, record->ownTokens.value(),
                                    record->ownUnread.value(), record->ownBackup.value()});
    }
    return loads;
}

QCborArray LoadExchange::retryCounts()
{
    QCborArray rows;
    const QHash<ServiceId, RetryCounts> counts = m_retries.ownCounts(m_timers.now());
    for (auto entry = counts.cbegin(); entry != counts.cend(); ++entry)
        rows.append(QCborArray{entry.key().text(), entry->requests, entry->retries});
    return rows;
}

void LoadExchange::send(const QCborArray &loads, const QCborArray &counts)
{
    m_datagrams.send(m_peers.audience(), DatagramKind::Load, QCborArray{loads, counts});
}

void LoadExchange::tellOwners(const QSet<TargetId> &targets)
{
    // The daemons of the target's own data centre use it most, and must not wait for the sum.
    if (m_peers.isSmallFleet())
        return;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (!record || record->entry.dataCentre == m_peers.self().dataCentre)
            continue;
        QList<Peer> owners = m_peers.peers();
        owners.removeIf(
            [record](const Peer &peer) { return peer.dataCentre != record->entry.dataCentre; });
        m_datagrams.send(owners, DatagramKind::Load, QCborArray{loadsOf({target}), QCborArray()});
    }
}

void LoadExchange::summarise()
{
    if (m_peers.isSmallFleet() || m_peers.rankNearby() > 0)
        return;
    QList<Peer> others = m_peers.peers();
    const DataCentreId own = m_peers.self().dataCentre;
    others.removeIf([&own](const Peer &peer) { return peer.dataCentre == own; });
    QCborArray rows;
    for (const TargetId &target : m_targets.usedNearby()) {
        const PeerLoad load = m_targets.nearbyLoad(target);
        rows.append(QCborArray{target.text(), load.running, load.tokens.value(),
                               load.unread.value(), load.backup.value()});
        if (rows.size() < MostEntries)
            continue;
        m_datagrams.send(others, DatagramKind::Summary, QCborArray{own.text(), rows});
        rows = QCborArray();
    }
    if (!rows.isEmpty())
        m_datagrams.send(others, DatagramKind::Summary, QCborArray{own.text(), rows});
}

void LoadExchange::takeSummary(const QCborArray &body)
{
    // Kept under the name of the data centre, beside the loads of single daemons of the own one.
    const VmId speaker(QStringLiteral("data centre ") + body.at(0).toString());
    for (const QCborValue row : body.at(1).toArray())
        takeSummaryRow(speaker, row.toArray());
}

void LoadExchange::takeSummaryRow(const VmId &speaker, const QCborArray &row)
{
    // Who places here tells the daemons of this data centre itself.
    const TargetRecord *record = m_targets.find(TargetId(row.at(0).toString()));
    if (record && record->entry.dataCentre != m_peers.self().dataCentre)
        takeLoad(speaker, row, true);
}

void LoadExchange::takeLoad(const VmId &peer, const QCborArray &entry, bool isForeign)
{
    PeerLoad load;
    load.isForeign = isForeign;
    load.running = int(entry.at(1).toInteger());
    load.tokens = Tokens(entry.at(2).toInteger());
    load.unread = Tokens(entry.at(3).toInteger());
    load.backup = Tokens(entry.at(4).toInteger());
    load.heard = m_timers.now();
    m_targets.peerLoad(TargetId(entry.at(0).toString()), peer, load);
}

void LoadExchange::take(const Peer &peer, const QCborArray &body)
{
    const MonotonicTime now = m_timers.now();
    const bool isForeign = peer.dataCentre != m_peers.self().dataCentre;
    for (const QCborValue value : body.at(0).toArray())
        takeLoad(peer.vm, value.toArray(), isForeign);
    for (const QCborValue value : body.at(1).toArray()) {
        const QCborArray row = value.toArray();
        m_retries.heard(peer.vm, ServiceId(row.at(0).toString()),
                        {int(row.at(1).toInteger()), int(row.at(2).toInteger()), now});
    }
}

} // namespace cranberry
