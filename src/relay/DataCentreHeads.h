#pragma once

#include "base/Ids.h"
#include "relay/Peer.h"

#include <QHash>
#include <QList>

#include <memory>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
enum class DatagramKind;
class PeerDirectory;
class TimerService;
class TimerSubscription;

/// Selects the daemons that represent their data centre. In a large fleet a message to every daemon
/// of another data centre would cross the link between them once for each: 155 copies of each
/// summary with 195 daemons in five data centres. Therefore two daemons of each data centre, its
/// heads, receive messages for it and forward them to the rest. The heads follow from an order
/// common to all daemons of a data centre. They announce themselves to the other data centres,
/// where the first head forwards the known heads to the rest.
/// Thread safety: only from the thread of the event loop.
class DataCentreHeads
{
public:
    /// Precondition: everything passed outlives the object.
    DataCentreHeads(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams);
    ~DataCentreHeads();

    /// Whether this daemon is one of the heads of its data centre.
    bool isHead() const;
    /// The heads of @p dataCentre that were heard recently, in an order common to all daemons.
    QList<Peer> headsOf(const DataCentreId &dataCentre) const;
    /// The heads of all other data centres.
    QList<Peer> remoteHeads() const;
    /// Sends to all daemons: directly to those that this daemon reaches itself, and by way of the
    /// first head of each data centre to the others.
    void sendToAll(DatagramKind kind, const QCborArray &body);
    /// Sends to all daemons of @p dataCentre by way of its first head. One head is enough for
    /// messages that are repeated soon.
    void sendTo(const DataCentreId &dataCentre, DatagramKind kind, const QCborArray &body);

private:
    QList<Peer> localHeads() const;
    QList<Peer> candidates(const DataCentreId &dataCentre) const;
    void announce();
    void handleHeads(const Peer &from, const QCborArray &rows);
    void handleForwarded(const Peer &from, const QCborArray &body);

    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    TimerService &m_timers;
    /// Heads of other data centres, with the time of their last announcement.
    QHash<VmId, Peer> m_heads;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
