// Defines StoreFeed, by which a few daemons of a data centre watch the store for the others.
#pragma once

#include "base/Units.h"
#include "relay/StoreAnswer.h"

#include <memory>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class StoreMirror;
class TimerService;
class TimerSubscription;
struct Peer;

/// Each change of a watched key costs a call for each daemon that watches. Where a data centre
/// has many daemons, two of them watch and send the others what changed, and a heartbeat with
/// the revision up to which they know. A daemon that hears none goes back to its own watch, and
/// one that missed a change asks the store for it.
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

private:
    bool isWatcher() const;
    bool isFed() const;
    Milliseconds pace() const;
    void check();
    void changed(const StoreAnswer &answer, Revision base);
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
