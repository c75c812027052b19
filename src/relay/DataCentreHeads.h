// Defines DataCentreHeads, which daemons represent their data centre.
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

/// In a large fleet a message to every daemon of another data centre crosses the link between them
/// once for each: 155 copies of each sum with 195 daemons in five data centres. So two daemons of
/// each data centre, its heads, hear for it and tell the rest. Heads follow from an order that all
/// daemons of a data centre share; the heads of other data centres say so themselves, and the first
/// head tells them to the rest.
/// Thread safety: only from the thread of the event loop.
class DataCentreHeads
{
public:
    /// Precondition: everything passed outlives the object.
    DataCentreHeads(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams);
    ~DataCentreHeads();

    /// This daemon is one of the heads of its data centre.
    bool isHead() const;
    /// The heads of @p dataCentre that are heard of, in an order that all share.
    QList<Peer> of(const DataCentreId &dataCentre) const;
    /// Those of all other data centres.
    QList<Peer> elsewhere() const;
    /// Sends to all daemons: to those that hear this one directly, and by way of the first head of
    /// each data centre to the others.
    void tellAll(DatagramKind kind, const QCborArray &body);
    /// Sends to all daemons of @p dataCentre by way of its first head. One is enough for what is
    /// repeated soon.
    void tell(const DataCentreId &dataCentre, DatagramKind kind, const QCborArray &body);

private:
    QList<Peer> nearbyHeads() const;
    QList<Peer> candidates(const DataCentreId &dataCentre) const;
    void announce();
    void heard(const Peer &from, const QCborArray &rows);
    void passedOn(const Peer &from, const QCborArray &body);

    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    TimerService &m_timers;
    /// Heads of other data centres, with the time at which they last said so.
    QHash<VmId, Peer> m_heads;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
