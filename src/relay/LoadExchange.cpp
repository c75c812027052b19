#include "relay/LoadExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/TargetDirectory.h"

#include <QCborArray>
#include <QCborValue>

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

LoadExchange::LoadExchange(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                           TargetDirectory &targets)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_targets(targets)
    , m_refresh(timers.every(RefreshInterval, [this] { refresh(); }))
{
    datagrams.onMessage(DatagramKind::Load, [this](const Peer &from, const QCborArray &body) {
        for (const QCborValue &entry : body)
            take(from.vm, entry.toArray());
    });
}

LoadExchange::~LoadExchange() = default;

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
    QCborArray entries;
    for (const TargetId &target : targets) {
        const TargetRecord *record = m_targets.find(target);
        if (record && entries.size() < MostEntries)
            entries.append(QCborArray{target.text(), record->ownRunning, record->ownTokens.value(),
                                      record->ownUnread.value()});
    }
    if (entries.isEmpty())
        return;
    QList<Peer> receivers = m_peers.peers();
    if (receivers.size() > SmallFleet)
        receivers = m_peers.peersNearby();
    m_datagrams.send(receivers, DatagramKind::Load, entries);
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
