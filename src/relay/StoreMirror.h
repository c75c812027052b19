#pragma once

#include "base/LatencyHistogram.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "relay/StoreAnswer.h"
#include "relay/StoreSource.h"

#include <QHash>
#include <QSet>
#include <QString>

#include <functional>
#include <memory>

namespace cranberry {

class HttpClient;
class HttpExchange;
class TimerService;
class TimerSubscription;
struct HttpRequest;
struct RelayCounters;
struct StoreProtocol;

struct StoreMirrorCallbacks {
    std::function<void(const StoreItem &item)> put;
    std::function<void(const QString &key)> removed;
};

/// Connects a mirror to the other daemons that watch the store for it.
struct StoreMirrorFeed {
    /// Whether other daemons send the changes, so that no own watch is needed.
    std::function<bool()> isFed = [] { return false; };
    /// Whether the mirror waits instead of calling the store although no other daemon feeds it.
    std::function<bool()> defersStoreCalls = [] { return false; };
    /// The delay between an answer and the next watch.
    std::function<Milliseconds()> watchDelay = [] { return Milliseconds(0); };
    /// Called when the mirror's own watch is answered: @p answer holds the changes after @p base.
    std::function<void(const StoreAnswer &answer, Revision base)> onChanges =
        [](const StoreAnswer &, Revision) {};
    /// Called when others have something that is missing here. Returns whether they were asked for
    /// it.
    std::function<bool()> askPeers = [] { return false; };
    /// Called when the store did not serve a call.
    std::function<void()> onUnavailable = [] {};
};

/// A daemon's copy of the keys under a prefix of the platform's store. Reads them
/// once and then follows a watch. Keeps its contents while the store is unavailable, and
/// reads again if the store has compacted the history since.
/// Thread safety: only from the thread of the event loop.
class StoreMirror
{
public:
    /// Precondition: everything passed outlives the mirror.
    StoreMirror(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                const StoreProtocol &protocol, RelayCounters &counters, QString prefix);
    ~StoreMirror();

    /// Sets the time after which a watch is answered at the latest. A store that stops answering
    /// without closing its connections is detected after about this time. Shorter waits cost more
    /// calls. Precondition: not started.
    void setWatchWait(std::function<Milliseconds()> wait) { m_watchWait = std::move(wait); }
    /// Sets the maximum pause between calls to a store that does not answer. Precondition: not
    /// started.
    void setMaxBackoff(std::function<Milliseconds()> maxBackoff)
    {
        m_maxBackoff = std::move(maxBackoff);
    }
    /// Sets whether the keys have leases, which is the default: a key that is missing after an
    /// outage of the store may come back within seconds. Precondition: not started.
    void setKeysExpire(bool expire) { m_keysExpire = expire; }
    /// Sets the shortest outage of the store in which a lease can expire. Precondition: not
    /// started.
    void setMinExpiryOutage(Milliseconds outage) { m_minExpiryOutage = outage; }
    /// Precondition: not started.
    void setCallbacks(StoreMirrorCallbacks callbacks) { m_callbacks = std::move(callbacks); }
    /// Precondition: not started.
    void setFeed(StoreMirrorFeed feed) { m_feed = std::move(feed); }
    /// Reads the store, or waits for other daemons as long as the feed defers calls.
    void start();
    /// The mirror holds everything that the store held at this time, or something newer.
    MonotonicTime freshAsOf() const { return m_freshAsOf; }
    /// Confirms the contents as of @p freshAsOf, for example because another daemon that is fresh
    /// as of then holds nothing newer.
    void confirm(MonotonicTime freshAsOf, StoreSource by);
    /// The source that confirmed freshAsOf().
    StoreSource confirmedBy() const { return m_confirmedBy; }
    /// The source of the change for which the callbacks are called.
    StoreSource changedBy() const { return m_changedBy; }
    /// The time since the contents were last known to be complete; UnknownAge if they never were.
    Milliseconds age() const;
    /// The distribution of the ages just before each confirmation.
    const LatencyHistogram &ages() const { return m_ages; }
    /// Whether the mirror receives changes from the store itself or from the daemons that watch it.
    bool hasSource() const { return m_isCurrent || m_feed.isFed(); }
    /// Whether other daemons watch for the mirror.
    bool isFed() const { return m_state == State::Fed; }
    /// Whether the mirror's own watch is open.
    bool isWatching() const { return m_isCurrent && m_state == State::Watching; }
    /// Applies @p answer, the changes after @p base that another daemon's watch returned. Returns
    /// false if they do not continue from the mirror's revision, or if a call of the mirror is in
    /// progress.
    bool applyFeed(const StoreAnswer &answer, Revision base);
    /// Reads all keys again, as another daemon knows of something newer. Does nothing if a read is
    /// in progress or a retry is pending.
    void readAgain();
    /// Asks the store for the changes since revision(). Does nothing if a call of the mirror is in
    /// progress.
    void refresh();
    /// Whether a read is in progress.
    bool isReading() const { return m_state == State::Reading; }
    /// Returns to the mirror's own watch if no daemon feeds it any longer, and ends that watch if
    /// one does.
    void checkFeed();
    /// Whether all keys were read at least once.
    bool hasRead() const { return m_hasRead; }
    /// Whether the mirror has any contents, which may be incomplete.
    bool hasAnyContents() const { return m_hasRead || !m_items.isEmpty(); }
    const QHash<QString, StoreItem> &items() const { return m_items; }
    /// Whether @p key no longer exists at revision() but is kept for a grace period, as its lease
    /// may have expired during an outage of the store.
    bool isRemovalPending(const QString &key) const { return m_pendingRemovals.contains(key); }
    Revision revision() const { return m_revision; }
    /// The prefix of the keys that are copied.
    const QString &prefix() const { return m_prefix; }
    /// The revision of the latest change of a key, including removals. For a removal that no watch
    /// showed, it is the revision of the read that found it.
    Revision newestRevision() const { return m_newestRevision; }
    /// The revision that another copy must have reached to be confirmed by this one:
    /// newestRevision(), but at least the revision of the first read, because earlier removals are
    /// unknown here.
    Revision requiredPeerRevision() const;
    /// Merges the contents of another daemon at @p revision, if they are newer: the items
    /// @p changed since revision() and the @p keys that still exist.
    void mergePeerCopy(const QList<StoreItem> &changed, const QSet<QString> &keys,
                       Revision revision);

private:
    static constexpr Milliseconds DefaultBackoff{800};
    static constexpr Milliseconds DefaultWatchWait{28000};

    enum class State {
        Reading,
        Watching,
        /// Waits before a retry.
        BackingOff,
        /// Other daemons watch for the mirror, or are expected to.
        Fed,
    };

    void apply(const StoreAnswer &answer);
    void read();
    void readPage(const QString &after);
    void handlePage(const StoreAnswer &answer);
    void finishRead();
    void applyRead(const QHash<QString, StoreItem> &read);
    void scheduleWatch();
    void openWatch();
    void sendWatch(Milliseconds wait, Milliseconds timeout);
    void handleWatchAnswer(const StoreAnswer &answer);
    MonotonicTime confirmedUntil(const StoreAnswer &answer) const;
    void handleUnavailable();
    void catchUp();
    void noteOutage(const char *by);
    void noteFeedRestored();
    void startGraceAfterOutage();
    void retryAfter(Milliseconds delay);
    void put(const StoreItem &item);
    /// @p revision is that of the removal, or of the read that found the key missing.
    void handleRemoval(const QString &key, Revision revision);
    void removeAfterGrace(const QString &key);
    void retryPendingRemovals();
    void call(const HttpRequest &request, Milliseconds timeout,
              std::function<void(const StoreAnswer &)> callback);

    TimerService &m_timers;
    HttpClient &m_client;
    HttpEndpoint m_store;
    const StoreProtocol &m_protocol;
    RelayCounters &m_counters;
    QString m_prefix;
    StoreMirrorCallbacks m_callbacks;

    StoreMirrorFeed m_feed;
    std::function<Milliseconds()> m_maxBackoff = [] { return DefaultBackoff; };

    State m_state = State::Reading;
    std::function<Milliseconds()> m_watchWait = [] { return DefaultWatchWait; };
    QHash<QString, StoreItem> m_items;
    QHash<QString, StoreItem> m_readItems;
    /// The last key of the pages that were read, from which an interrupted read continues.
    QString m_readCursor;
    MonotonicTime m_readStart;
    Revision m_revision;
    Revision m_newestRevision;
    Revision m_firstReadRevision;
    Revision m_readRevision;
    bool m_keysExpire = true;
    Milliseconds m_minExpiryOutage{0};
    bool m_isCurrent = false;
    /// The current outage of the store was logged.
    bool m_isOutageLogged = false;
    /// A call is fetching the changes that the feed skipped.
    bool m_isCatchingUp = false;
    /// The store was unavailable, and its first answers may lack entries whose leases expired.
    bool m_hadOutage = false;
    bool m_hasRead = false;
    bool m_needsRead = true;
    Milliseconds m_backoff{0};
    MonotonicTime m_started;
    MonotonicTime m_callStart;
    /// The wait of the watch that is open.
    Milliseconds m_openWatchWait{0};
    MonotonicTime m_freshAsOf;
    StoreSource m_confirmedBy = StoreSource::None;
    StoreSource m_changedBy = StoreSource::None;
    LatencyHistogram m_ages;
    /// Removals are deferred until this time, as leases may have expired during an outage of the
    /// store.
    MonotonicTime m_removalGraceEnd;
    QHash<QString, MonotonicTime> m_pendingRemovals;
    std::unique_ptr<HttpExchange> m_call;
    std::unique_ptr<TimerSubscription> m_timer;
    std::unique_ptr<TimerSubscription> m_pendingRemovalTimer;
};

} // namespace cranberry
