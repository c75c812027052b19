#include "relay/LoadExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/DataCentreHeads.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayRetryBudget.h"
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
/// What is at the engines of a data centre goes to the others this often. Without it the
/// engines of another data centre look empty, and moves choose them in vain.
constexpr Milliseconds SummaryInterval{500};
/// Targets in one datagram: about 35 bytes each, together under the 1,400 that any path carries.
constexpr qsizetype MostEntries = 30;
/// Engines of a data centre that others hear of, the emptiest ones: two datagrams. Others place
/// there seldom, and all engines of a large fleet would be tens of KB a second for each daemon.
constexpr qsizetype MostSummarised = 2 * MostEntries;

} // namespace

LoadExchange::LoadExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                           PeerDatagrams &datagrams, TargetDirectory &targets,
                           RelayRetryBudget &retries)
    : m_timers(timers)
    , m_peers(peers)
    , m_heads(heads)
    , m_datagrams(datagrams)
    , m_targets(targets)
    , m_retries(retries)
    , m_refresh(timers.every(RefreshInterval, [this] { refresh(); }))
    , m_summary(timers.every(SummaryInterval, [this] { summarise(); }))
{
    datagrams.onMessage(DatagramKind::Summary, [this](const Peer &from, const QCborArray &rows) {
        takeSummary(from, rows);
    });
    datagrams.onMessage(DatagramKind::Load,
                        [this](const Peer &from, const QCborArray &body) { take(from, body); });
}

LoadExchange::~LoadExchange() = default;

void LoadExchange::sendHello(const QList<Peer> &peers)
{
    m_datagrams.send(peers, DatagramKind::Load, QCborArray{QCborArray(), QCborArray()});
}

void LoadExchange::changed(const TargetId &target, bool isMore)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record || !m_hasEngine(record->entry.service))
        return;
    m_changed.insert(target);
    const Milliseconds delay = isMore ? PlacedDelay : EndedDelay;
    const MonotonicTime due = m_timers.now() + delay;
    if (m_soon && m_due <= due)
        return;
    m_due = due;
    m_soon = m_timers.after(delay, [this] {
        m_soon.reset();
        tell(std::exchange(m_changed, {}), {});
    });
}

void LoadExchange::refresh()
{
    m_retries.setDaemons(m_peers.fleetSize());
    QSet<TargetId> targets;
    for (const TargetId &target : m_targets.usedByThisDaemon()) {
        const TargetRecord *record = m_targets.find(target);
        if (record && m_hasEngine(record->entry.service))
            targets.insert(target);
    }
    tell(targets, retryCounts());
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

void LoadExchange::tell(const QSet<TargetId> &targets, const QCborArray &counts)
{
    m_datagrams.send(m_peers.audience(), DatagramKind::Load, QCborArray{loadsOf(targets), counts});
    tellOwners(targets);
}

void LoadExchange::tellOwners(const QSet<TargetId> &targets)
{
    // The daemons of the target's own data centre use it most, and must not wait for the sum.
    if (m_peers.isSmallFleet())
        return;
    QHash<DataCentreId, QSet<TargetId>> foreign;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && record->entry.dataCentre != m_peers.self().dataCentre)
            foreign[record->entry.dataCentre].insert(target);
    }
    for (auto entry = foreign.cbegin(); entry != foreign.cend(); ++entry)
        m_heads.tell(entry.key(), DatagramKind::Load,
                     QCborArray{loadsOf(entry.value()), QCborArray()});
}

void LoadExchange::summarise()
{
    if (m_peers.isSmallFleet() || m_peers.rankNearby() > 0)
        return;
    const QList<TargetId> targets =
        m_targets.emptiest(m_peers.self().dataCentre, m_hasEngine, MostSummarised);
    for (const DataCentreId &receiver : m_peers.otherDataCentres())
        sendSummary(receiver, targets);
}

void LoadExchange::sendSummary(const DataCentreId &receiver, const QList<TargetId> &targets)
{
    QCborArray rows;
    for (const TargetId &target : targets) {
        // The receivers know themselves what their own data centre has there.
        const PeerLoad load = m_targets.loadWithout(target, receiver);
        rows.append(QCborArray{target.text(), load.running, load.tokens.value(),
                               load.unread.value(), load.backup.value()});
        if (rows.size() < MostEntries)
            continue;
        m_heads.tell(receiver, DatagramKind::Summary, rows);
        rows = QCborArray();
    }
    if (!rows.isEmpty())
        m_heads.tell(receiver, DatagramKind::Summary, rows);
}

void LoadExchange::takeSummary(const Peer &from, const QCborArray &rows)
{
    // Kept under the name of the data centre, beside the loads of single daemons of the own one.
    const VmId origin(QStringLiteral("data centre ") + from.dataCentre.text());
    for (const QCborValue value : rows) {
        takeLoad(origin, from.dataCentre, value.toArray());
        m_targets.toldByOwner(TargetId(value.toArray().at(0).toString()));
    }
}

void LoadExchange::takeLoad(const VmId &origin, const DataCentreId &dataCentre,
                            const QCborArray &row)
{
    PeerLoad load;
    load.dataCentre = dataCentre;
    load.running = int(row.at(1).toInteger());
    load.tokens = Tokens(row.at(2).toInteger());
    load.unread = Tokens(row.at(3).toInteger());
    load.backup = Tokens(row.at(4).toInteger());
    load.heard = m_timers.now();
    m_targets.peerLoad(TargetId(row.at(0).toString()), origin, load);
}

void LoadExchange::take(const Peer &peer, const QCborArray &body)
{
    const MonotonicTime now = m_timers.now();
    const QCborArray loads = body.at(0).toArray();
    for (const QCborValue value : loads)
        takeLoad(peer.vm, peer.dataCentre, value.toArray());
    for (const QCborValue value : body.at(1).toArray()) {
        const QCborArray row = value.toArray();
        m_retries.setPeerCounts(peer.vm, ServiceId(row.at(0).toString()),
                                {int(row.at(1).toInteger()), int(row.at(2).toInteger()), now});
    }
}

} // namespace cranberry
