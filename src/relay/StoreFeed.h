#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/FeedMessage.h"
#include "relay/FeedPlan.h"
#include "relay/Peer.h"
#include "relay/StalenessPlan.h"
#include "relay/StoreAnswer.h"

#include <QHash>

#include <functional>
#include <memory>

class QCborArray;

namespace cranberry {

class DataCentreHeads;
class PeerDatagrams;
class PeerDirectory;
class PeerState;
class StoreMirror;
class TimerService;
class TimerSubscription;

/// Lets a few daemons watch the platform's store for the others. Each change of a watched key costs
/// a call for each daemon that watches. Therefore only two daemons of the fleet watch, as decided
/// by watchesStore(). They send the changes, and heartbeats with the revision up to which they know
/// them, to the heads of the data centres, which forward them to the other daemons there. A daemon
/// that receives no heartbeat returns to its own watch. A daemon that missed a change of an entry
/// asks the store for it, and one that lacks the configuration asks a daemon that has it.
/// Thread safety: only from the thread of the event loop.
class StoreFeed
{
public:
    struct Parts {
        TimerService &timers;
        PeerDirectory &peers;
        DataCentreHeads &heads;
        PeerDatagrams &datagrams;
        PeerState &state;
        StoreMirror &entries;
        StoreMirror &configuration;
    };

    /// Precondition: everything in @p parts outlives the feed. @p isFirstStart: the whole fleet is
    /// starting, so that no daemon has anything to send yet. @p version returns the version of the
    /// configuration in force at this daemon.
    StoreFeed(const Parts &parts, bool isFirstStart, const StalenessBounds &bounds,
              std::function<qint64()> version);
    ~StoreFeed();

    /// Tells the daemons that this one feeds that it is about to end, so that they need not wait
    /// for missing heartbeats.
    void drain();

    /// The staleness of this daemon's copy of the operator's keys.
    StalenessView configurationStaleness() const;
    /// The staleness of this daemon's copy of the entries of targets.
    StalenessView targetsStaleness() const;

    /// The maximum pause of this daemon between calls to a store that does not answer.
    Milliseconds maxBackoff() const;

private:
    /// A copy of a part of the store that is kept within a bound of staleness.
    struct BoundedCopy {
        StoreMirror &mirror;
        Milliseconds bound;
        /// See StalenessView::randomFraction.
        double readFraction;
        /// The step that was last logged.
        StalenessStep step = StalenessStep::Wait;
    };

    struct Source {
        Peer peer;
        FeedRole role = FeedRole::Disconnected;
        MonotonicTime heardAt;
    };

    /// The other daemons with which this one shares watches.
    struct Group {
        QList<Peer> others;
        bool isWholeFleet = false;
    };

    Group group() const;
    QList<Peer> receivers(bool hasItems) const;
    FeedView view() const;
    bool isRecent(const Source &source) const;
    int count(FeedRole role) const;
    FeedRole role() const;
    bool isFed() const;
    bool defersStoreCalls() const;
    Milliseconds watchWait() const;
    Milliseconds configurationWait() const;
    Milliseconds watchDelay() const;
    void check();
    void updateGroup();
    void scheduleProbe(bool wasRefused);
    void forwardChanges(const StoreAnswer &answer, Revision base);
    void handleStoreUnavailable();
    bool askForEntries();
    bool askForConfiguration();
    /// The daemons that feed this one.
    QList<Peer> sources() const;
    bool ask(const QList<Peer> &known, MonotonicTime &missingSince);
    void heartbeat();
    void sendItems(const QList<StoreItem> &items, Revision base, Revision upTo);
    void handleMessage(const Peer &from, const QCborArray &body);
    void applyEntries(const Peer &from, const FeedMessage &message);
    void applyConfiguration(const FeedMessage &message);
    StalenessView staleness(const BoundedCopy &copy) const;
    void readIfStale();
    /// Whether a read of @p copy is due according to @p view. If so, draws when the next one is.
    bool checkReadDue(BoundedCopy &copy, const StalenessView &view);
    void logStepChange(BoundedCopy &copy, const StalenessView &view);

    Parts m_parts;
    std::function<qint64()> m_version;
    bool m_isFirstStart;
    BoundedCopy m_configuration;
    BoundedCopy m_targets;
    MonotonicTime m_started;
    /// When the store last did not serve a call, and until when this daemon relies on others
    /// because of that.
    MonotonicTime m_lastRefusal;
    MonotonicTime m_rejectedUntil;
    /// The configuration is being read to keep its bound although the store recently refused a
    /// call.
    bool m_isReadingAgain = false;
    /// When a daemon whose heads have lost the store tries it again itself. A daemon that was never
    /// fed does not wait for its heads, as all may have started together.
    MonotonicTime m_nextProbe;
    /// Whether there is a group, and the rank of this daemon in it; updated with each heartbeat.
    bool m_hasGroup = false;
    int m_rankInGroup = 0;
    /// Since when the sources have had something that this daemon lacks; unset if it lacks nothing.
    MonotonicTime m_entriesMissingSince;
    qint64 m_peerTargetCount = 0;
    /// The last heartbeat was ahead of this daemon's entries.
    bool m_wasBehind = false;
    MonotonicTime m_configurationMissingSince;
    QHash<VmId, Source> m_sources;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
