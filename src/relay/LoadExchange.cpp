#include "relay/LoadExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/DataCentreHeads.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetSpeeds.h"

#include <QCborArray>
#include <QCborValue>

#include <algorithm>

namespace cranberry {

namespace {

/// Changes within this time are sent together: placements soon, as other daemons choose in the
/// meantime, and ends later.
constexpr Milliseconds PlacedDelay{10};
constexpr Milliseconds EndedDelay{100};
/// Used while requests of other daemons wait for the room.
constexpr Milliseconds ContendedEndedDelay{10};
/// The totals are repeated at this interval, which limits how long a lost datagram misleads.
constexpr Milliseconds RefreshInterval{1500};
constexpr Milliseconds ContendedRefreshInterval{500};
/// The load at the engines of a data centre is sent to the others at this interval. Without it the
/// engines of another data centre look empty, and moves choose them in vain.
constexpr Milliseconds SummaryInterval{500};
/// Maximum number of targets in one datagram: with about 35 bytes each they stay below the 1,400
/// bytes that every path carries.
constexpr qsizetype MaxDatagramEntries = 30;
/// Loads that are sent in one datagram with observed speeds and rates.
constexpr qsizetype MaxLoadsBesideObservations = 8;
/// Maximum number of a data centre's engines that are reported to others, those with the least
/// load: two datagrams. Others rarely place there, and all engines of a large fleet would cost each
/// daemon tens of KB a second.
constexpr qsizetype MaxSummarisedTargets = 2 * MaxDatagramEntries;

/// No target runs more requests or holds more tokens.
constexpr qint64 MaxRunning = 1'000'000;
constexpr qint64 MaxTokens = 1'000'000'000'000;

/// A count that another daemon sent, limited so that sums of many do not overflow.
qint64 boundedCount(const QCborValue &value, qint64 limit)
{
    return std::clamp<qint64>(value.toInteger(), 0, limit);
}

} // namespace

LoadExchange::LoadExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                           PeerDatagrams &datagrams, TargetDirectory &targets, TargetSpeeds &speeds)
    : m_timers(timers)
    , m_peers(peers)
    , m_heads(heads)
    , m_datagrams(datagrams)
    , m_targets(targets)
    , m_speeds(speeds)
    , m_refreshTimer(timers.every(RefreshInterval, [this] { refresh(); }))
    , m_contendedTimer(timers.every(ContendedRefreshInterval, [this] { refreshContended(); }))
    , m_summaryTimer(timers.every(SummaryInterval, [this] { summarise(); }))
{
    datagrams.onMessage(DatagramKind::Summary, [this](const Peer &from, const QCborArray &rows) {
        applySummary(from, rows);
    });
    datagrams.onMessage(DatagramKind::Load, [this](const Peer &from, const QCborArray &body) {
        handleLoads(from, body);
    });
}

LoadExchange::~LoadExchange() = default;

bool LoadExchange::isShared(const ServiceId &service) const
{
    return m_hasEngine(service) || m_isContended(service);
}

void LoadExchange::sendLoadsOf(const ServiceId &service)
{
    QSet<TargetId> targets;
    for (const TargetId &target : m_targets.targetsInUse()) {
        const TargetRecord *record = m_targets.find(target);
        if (record && record->entry.service == service)
            targets.insert(target);
    }
    if (!targets.isEmpty())
        sendLoads(targets);
}

void LoadExchange::sendHello(const QList<Peer> &peers)
{
    m_datagrams.send(peers, DatagramKind::Load, QCborArray{QCborArray()});
}

void LoadExchange::handleLoadChange(const TargetId &target, bool isIncrease)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record || !isShared(record->entry.service))
        return;
    m_changed.insert(target);
    const Milliseconds ended =
        m_isContended(record->entry.service) ? ContendedEndedDelay : EndedDelay;
    const Milliseconds delay = isIncrease ? PlacedDelay : ended;
    const MonotonicTime due = m_timers.now() + delay;
    if (m_sendTimer && m_due <= due)
        return;
    m_due = due;
    m_sendTimer = m_timers.after(delay, [this] {
        m_sendTimer.reset();
        sendLoads(std::exchange(m_changed, {}));
    });
}

void LoadExchange::refresh()
{
    QSet<TargetId> targets;
    for (const TargetId &target : m_targets.targetsInUse()) {
        const TargetRecord *record = m_targets.find(target);
        if (record && isShared(record->entry.service))
            targets.insert(target);
    }
    // Many loads fill a datagram by themselves.
    const bool areMany = targets.size() > MaxLoadsBesideObservations;
    if (areMany)
        sendLoads(targets);
    else
        sendToOwners(targets);
    sendObservations(areMany ? QCborArray() : loadsOf(targets));
}

void LoadExchange::refreshContended()
{
    QSet<TargetId> targets;
    for (const TargetId &target : m_targets.targetsInUse()) {
        const TargetRecord *record = m_targets.find(target);
        if (record && m_isContended(record->entry.service))
            targets.insert(target);
    }
    if (!targets.isEmpty())
        sendLoads(targets);
}

QCborArray LoadExchange::loadsOf(const QSet<TargetId> &targets) const
{
    QCborArray loads;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && loads.size() < MaxDatagramEntries)
            loads.append(QCborArray{target.text(), record->ownRunning, record->ownTokens.value(),
                                    record->ownUnread.value(), record->ownBackup.value()});
    }
    return loads;
}

void LoadExchange::sendLoads(const QSet<TargetId> &targets)
{
    m_datagrams.send(m_peers.directReceivers(), DatagramKind::Load, QCborArray{loadsOf(targets)});
    sendToOwners(targets);
}

void LoadExchange::sendObservations(const QCborArray &loads)
{
    const QCborArray speeds = m_speeds.report();
    const QCborArray rates = m_rates ? m_rates() : QCborArray();
    QCborArray body{loads};
    if (!speeds.isEmpty() || !rates.isEmpty()) {
        body.append(speeds);
        body.append(rates);
    }
    m_datagrams.send(m_peers.directReceivers(), DatagramKind::Load, body);
}

void LoadExchange::setRates(std::function<QCborArray()> rates,
                            std::function<void(const VmId &, const QCborArray &)> receive)
{
    m_rates = std::move(rates);
    m_receiveRates = std::move(receive);
}

void LoadExchange::sendToOwners(const QSet<TargetId> &targets)
{
    // The daemons of the target's own data centre use it most, and must not wait for the summary.
    if (m_peers.isSmallFleet())
        return;
    QHash<DataCentreId, QSet<TargetId>> foreign;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && record->entry.dataCentre != m_peers.self().dataCentre)
            foreign[record->entry.dataCentre].insert(target);
    }
    for (auto entry = foreign.cbegin(); entry != foreign.cend(); ++entry)
        m_heads.sendTo(entry.key(), DatagramKind::Load, QCborArray{loadsOf(entry.value())});
}

void LoadExchange::summarise()
{
    if (m_peers.isSmallFleet() || m_peers.localRank() > 0)
        return;
    const QList<TargetId> targets =
        m_targets.leastLoaded(m_peers.self().dataCentre, m_hasEngine, MaxSummarisedTargets);
    for (const DataCentreId &receiver : m_peers.otherDataCentres())
        sendSummary(receiver, targets);
}

void LoadExchange::sendSummary(const DataCentreId &receiver, const QList<TargetId> &targets)
{
    QCborArray rows;
    for (const TargetId &target : targets) {
        // The receivers know the load of their own data centre.
        const PeerLoad load = m_targets.loadExcluding(target, receiver);
        rows.append(QCborArray{target.text(), load.running, load.tokens.value(),
                               load.unread.value(), load.backup.value()});
        if (rows.size() < MaxDatagramEntries)
            continue;
        m_heads.sendTo(receiver, DatagramKind::Summary, rows);
        rows = QCborArray();
    }
    if (!rows.isEmpty())
        m_heads.sendTo(receiver, DatagramKind::Summary, rows);
}

void LoadExchange::applySummary(const Peer &from, const QCborArray &rows)
{
    // Stored under the name of the data centre, beside the loads of the single daemons of this
    // daemon's own one.
    const VmId origin(QStringLiteral("data centre ") + from.dataCentre.text());
    for (const QCborValue value : rows) {
        applyLoad(origin, from.dataCentre, value.toArray());
        m_targets.recordOwnerReport(TargetId(value.toArray().at(0).toString()));
    }
}

void LoadExchange::applyLoad(const VmId &origin, const DataCentreId &dataCentre,
                             const QCborArray &row)
{
    PeerLoad load;
    load.dataCentre = dataCentre;
    load.running = int(boundedCount(row.at(1), MaxRunning));
    load.tokens = Tokens(boundedCount(row.at(2), MaxTokens));
    load.unread = Tokens(boundedCount(row.at(3), MaxTokens));
    load.backup = Tokens(boundedCount(row.at(4), MaxTokens));
    load.heardAt = m_timers.now();
    m_targets.setPeerLoad(TargetId(row.at(0).toString()), origin, load);
}

void LoadExchange::handleLoads(const Peer &peer, const QCborArray &body)
{
    const QCborArray loads = body.at(0).toArray();
    for (const QCborValue value : loads)
        applyLoad(peer.vm, peer.dataCentre, value.toArray());
    m_speeds.receive(peer.vm, body.at(1).toArray());
    if (m_receiveRates && body.at(2).isArray())
        m_receiveRates(peer.vm, body.at(2).toArray());
}

} // namespace cranberry
