// Defines StoreMirror, a daemon's copy of some keys of the platform's store.
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

/// By which other daemons watch for this one.
struct StoreMirrorFeed {
    /// Others send what changes, so that no watch is needed.
    std::function<bool()> isFed = [] { return false; };
    /// Nobody feeds it, and yet it is better to wait than to call the store.
    std::function<bool()> holdsBack = [] { return false; };
    /// How long after an answer the next watch is opened.
    std::function<Milliseconds()> pace = [] { return Milliseconds(0); };
    /// An own call brought @p answer beyond @p base.
    std::function<void(const StoreAnswer &answer, Revision base)> changed = [](const StoreAnswer &,
                                                                               Revision) {};
    /// Something is missing here that others have; true if they were asked for it.
    std::function<bool()> askPeers = [] { return false; };
    /// The store did not serve a call.
    std::function<void()> lost = [] {};
};

/// Reads all keys under a prefix once and then follows a watch. It goes on with what it has while
/// the store is away, and reads anew when the store has forgotten what happened meanwhile.
/// Thread safety: only from the thread of the event loop.
class StoreMirror
{
public:
    /// Precondition: everything passed outlives the mirror.
    StoreMirror(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                const StoreProtocol &protocol, RelayCounters &counters, QString prefix);
    ~StoreMirror();

    /// A watch is answered after @p wait at the latest, so that a store that has fallen silent is
    /// found about that late. Shorter waits cost more calls. Precondition: not started.
    void setWatchWait(std::function<Milliseconds()> wait) { m_watchWait = std::move(wait); }
    /// The longest pause between calls to a store that does not answer. Precondition: not started.
    void setLongestBackoff(std::function<Milliseconds()> longest)
    {
        m_longestBackoff = std::move(longest);
    }
    /// Keys have leases, by default: what is missing after the store was away may come back within
    /// seconds. Precondition: not started.
    void setKeysLapse(bool lapse) { m_keysLapse = lapse; }
    /// A store that was away for less than @p outage has lost no lease for that. Precondition: not
    /// started.
    void setLapseAfter(Milliseconds outage) { m_lapseAfter = outage; }
    /// Precondition: not started.
    void setCallbacks(StoreMirrorCallbacks callbacks) { m_callbacks = std::move(callbacks); }
    /// Precondition: not started.
    void setFeed(StoreMirrorFeed feed) { m_feed = std::move(feed); }
    /// Reads the store, or waits for others as long as its feed holds it back.
    void start();
    /// All that the store held at this moment is here, or was replaced by something newer.
    MonotonicTime freshAsOf() const { return m_freshAsOf; }
    /// Another daemon that holds nothing newer is fresh as of that moment.
    void confirm(MonotonicTime freshAsOf, StoreSource by);
    /// What confirmed freshAsOf().
    StoreSource confirmedBy() const { return m_confirmedBy; }
    /// What brought the change that the callbacks are called for.
    StoreSource changedBy() const { return m_changedBy; }
    /// How long ago all that the store held is known to have been here; UnknownAge if it never was.
    Milliseconds age() const;
    /// The ages just before each confirmation.
    const LatencyHistogram &ages() const { return m_ages; }
    /// It hears from the store itself or from those that watch for it.
    bool hasSource() const { return m_isCurrent || m_feed.isFed(); }
    /// Others watch for it.
    bool isFed() const { return m_state == State::Fed; }
    /// An own watch is open.
    bool isWatching() const { return m_isCurrent && m_state == State::Watching; }
    /// Takes in what a watch of another daemon brought since @p base; false if it does not follow
    /// on what is here, or an own call is under way.
    bool fed(const StoreAnswer &answer, Revision base);
    /// Reads all anew, as another daemon knows of something newer; nothing if it reads already.
    void readAgain();
    /// Asks the store for what changed since; nothing if an own call is under way.
    void refresh();
    /// A read is under way.
    bool isReading() const { return m_state == State::Reading; }
    /// Goes back to an own watch if nothing is fed any more.
    void checkFeed();
    /// All was read at least once.
    bool hasRead() const { return m_hasRead; }
    /// Something is there, though perhaps not all yet.
    bool hasSome() const { return m_hasRead || !m_items.isEmpty(); }
    const QHash<QString, StoreItem> &items() const { return m_items; }
    /// At revision() the key was gone; it is kept for a moment, as its lease may have lapsed.
    bool isDoubted(const QString &key) const { return m_missing.contains(key); }
    Revision revision() const { return m_revision; }
    /// The keys that it copies begin with it.
    const QString &prefix() const { return m_prefix; }
    /// The latest change of a key, removals included; of a removal that no watch showed, the
    /// revision of the read that found it.
    Revision newest() const { return m_newest; }
    /// The revision that another copy must have reached to be confirmed by this one: newest(), but
    /// at least the revision of the first read, because earlier removals are unknown here.
    Revision requiredPeerRevision() const;
    /// Takes in what another daemon holds at @p revision, if it is newer: what @p changed since
    /// revision() and the @p keys that are left.
    void takeFrom(const QList<StoreItem> &changed, const QSet<QString> &keys, Revision revision);

private:
    static constexpr Milliseconds DefaultBackoff{800};
    static constexpr Milliseconds DefaultWatchWait{28000};

    enum class State {
        Reading,
        Watching,
        /// Waits to try again.
        Pausing,
        /// Others watch, or are expected to.
        Fed,
    };

    void apply(const StoreAnswer &answer);
    void read();
    void readPage(const QString &after);
    void pageRead(const StoreAnswer &answer);
    void readDone();
    void applyRead(const QHash<QString, StoreItem> &read);
    void watch();
    void openWatch();
    void watchFor(Milliseconds wait, Milliseconds timeout);
    void watched(const StoreAnswer &answer);
    MonotonicTime watchedUntil(const StoreAnswer &answer) const;
    void unavailable();
    void catchUp();
    void noteAway(const char *by);
    void feedBack();
    void doubtIfAway();
    void again(Milliseconds delay);
    void put(const StoreItem &item);
    /// @p revision: at which it was removed, or found to be gone.
    void removed(const QString &key, Revision revision);
    void removeLater(const QString &key);
    void removeMissing();
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
    std::function<Milliseconds()> m_longestBackoff = [] { return DefaultBackoff; };

    State m_state = State::Reading;
    std::function<Milliseconds()> m_watchWait = [] { return DefaultWatchWait; };
    QHash<QString, StoreItem> m_items;
    QHash<QString, StoreItem> m_reading;
    /// The last key of the pages that are read, from where an interrupted read goes on.
    QString m_readUpTo;
    MonotonicTime m_readBegan;
    Revision m_revision;
    Revision m_newest;
    Revision m_firstReadRevision;
    Revision m_readAt;
    bool m_keysLapse = true;
    Milliseconds m_lapseAfter{0};
    bool m_isCurrent = false;
    /// The loss of the store was logged.
    bool m_isAway = false;
    /// A call fetches what the feed skipped.
    bool m_isCatchingUp = false;
    /// The store was away, and what it tells first may lack entries that lapsed.
    bool m_wasAway = false;
    bool m_hasRead = false;
    bool m_needsRead = true;
    Milliseconds m_backoff{0};
    MonotonicTime m_started;
    MonotonicTime m_callBegan;
    /// How long the watch that is open may wait.
    Milliseconds m_wait{0};
    MonotonicTime m_freshAsOf;
    StoreSource m_confirmedBy = StoreSource::None;
    StoreSource m_changedBy = StoreSource::None;
    LatencyHistogram m_ages;
    /// Removals are doubted until then, as leases may have lapsed while the store was away.
    MonotonicTime m_doubtUntil;
    QHash<QString, MonotonicTime> m_missing;
    std::unique_ptr<HttpExchange> m_call;
    std::unique_ptr<TimerSubscription> m_timer;
    std::unique_ptr<TimerSubscription> m_missingTimer;
};

} // namespace cranberry
