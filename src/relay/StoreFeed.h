// Defines StoreFeed, by which a few daemons watch the store for the others.
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

/// Each change of a watched key costs a call for each daemon that watches. So two daemons of the
/// fleet watch, by watchesStore(), and tell the heads of the data centres, and these tell theirs:
/// what changed, and a heartbeat with the revision up to which they know. A daemon that hears no
/// heartbeat goes back to its own watch; one that missed a change of an entry asks the store for
/// it, and one that misses the configuration asks the daemon that has it.
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

    /// Precondition: all of @p parts outlives the feed. @p isFirstStart: the whole fleet starts, so
    /// that nobody can have anything to tell yet.
    /// @p version tells which version of the configuration is in force here.
    StoreFeed(const Parts &parts, bool isFirstStart, const StalenessBounds &bounds,
              std::function<qint64()> version);
    ~StoreFeed();

    /// This daemon is about to end: it tells those whom it feeds, so that they need not miss it.
    void drain();

    /// How old what the operator wrote may be here.
    StalenessView configurationStaleness() const;
    /// How old the entries of targets may be here.
    StalenessView targetsStaleness() const;

    /// The longest pause of this daemon between calls to a store that does not answer.
    Milliseconds longestBackoff() const;

private:
    /// A copy of a part of the store that is kept within a bound.
    struct BoundedCopy {
        StoreMirror &mirror;
        Milliseconds bound;
        /// See StalenessView::draw.
        double readDraw;
        /// The step that was logged last.
        StalenessStep step = StalenessStep::Wait;
    };

    struct Source {
        Peer peer;
        FeedStanding standing = FeedStanding::Away;
        MonotonicTime heard;
    };

    /// The others with whom this daemon shares watches.
    struct Group {
        QList<Peer> others;
        bool isWholeFleet = false;
    };

    Group group() const;
    QList<Peer> receivers(bool hasItems) const;
    FeedView view() const;
    bool isRecent(const Source &source) const;
    int count(FeedStanding standing) const;
    FeedStanding standing() const;
    bool isFed() const;
    bool holdsBack() const;
    Milliseconds watchWait() const;
    Milliseconds configurationWait() const;
    Milliseconds pace() const;
    void check();
    void lookUpGroup();
    void planProbe(bool wasRefused);
    void changed(const StoreAnswer &answer, Revision base);
    void lost();
    bool askForEntries();
    bool askForConfiguration();
    /// The daemons that feed this one.
    QList<Peer> sources() const;
    bool ask(const QList<Peer> &known, MonotonicTime &missingSince);
    void heartbeat();
    void sendItems(const QList<StoreItem> &items, Revision base, Revision upTo);
    void received(const Peer &from, const QCborArray &body);
    void takeEntries(const Peer &from, const FeedMessage &message);
    void takeConfiguration(const FeedMessage &message);
    StalenessView staleness(const BoundedCopy &copy) const;
    void readIfStale();
    /// Whether a read of @p copy is due by @p view; draws when the next one is.
    bool takeReadDue(BoundedCopy &copy, const StalenessView &view);
    void noteStep(BoundedCopy &copy, const StalenessView &view);

    Parts m_parts;
    std::function<qint64()> m_version;
    bool m_isFirstStart;
    BoundedCopy m_configuration;
    BoundedCopy m_targets;
    MonotonicTime m_started;
    /// When the store last did not serve a call, and until when this daemon follows others for
    /// that.
    MonotonicTime m_refusedAt;
    MonotonicTime m_turnedAwayUntil;
    /// The configuration is read for its bound although the store refused a call a moment ago.
    bool m_isReadingAgain = false;
    /// A daemon whose heads have lost the store tries it again itself then; one that was never fed
    /// does not wait for them, as all may have started together.
    MonotonicTime m_probeDue;
    /// Of the group; looked up with each heartbeat.
    bool m_hasGroup = false;
    int m_rankInGroup = 0;
    /// Since when the sources have something that this daemon lacks; unset if it lacks nothing.
    MonotonicTime m_entriesMissing;
    qint64 m_entriesElsewhere = 0;
    /// The last heartbeat was ahead of what is here.
    bool m_wasBehind = false;
    MonotonicTime m_configurationMissing;
    QHash<VmId, Source> m_sources;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
