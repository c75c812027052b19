// Defines StoreFeed, by which a few daemons of a data centre watch the store for the others.
#pragma once

#include "base/Units.h"
#include "relay/StoreAnswer.h"

#include <memory>
#include <optional>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class StoreMirror;
class TimerService;
class TimerSubscription;
struct Peer;

/// Each change of a watched key costs a call for each daemon that watches. So two daemons of a
/// data centre, or of a whole fleet whose data centres have few, watch and send the others what
/// changed, and a heartbeat with the revision up to which they know. A daemon that hears none
/// goes back to its own watch, and so do all when a watcher loses the store; one that missed a
/// change asks the store for it.
/// Thread safety: only from the thread of the event loop.
class StoreFeed
{
public:
    /// Precondition: everything passed outlives the feed.
    StoreFeed(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
              StoreMirror &mirror);
    ~StoreFeed();

    /// The longest pause of this daemon between calls to a store that does not answer.
    Milliseconds longestBackoff() const;

    /// How long a watch of this daemon waits for a change.
    Milliseconds watchWait() const;

private:
    QList<Peer> group() const;
    bool isGroup(const QList<Peer> &others) const;
    /// Its place among the watchers of its group; none if it is none of them.
    std::optional<int> watcherRank() const;
    bool isWatcher() const { return watcherRank().has_value(); }
    bool isFed() const;
    Milliseconds pace() const;
    void check();
    void changed(const StoreAnswer &answer, Revision base);
    void lost();
    void sendItems(const QList<StoreItem> &items, Revision base, Revision revision);
    void received(const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    StoreMirror &m_mirror;
    MonotonicTime m_lastFed;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
