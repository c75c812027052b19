#include "relay/StoreFeed.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/StoreMirror.h"

#include <QCborArray>

namespace cranberry {

namespace {

/// Two, so that one that dies or is cut off leaves the other.
constexpr int Watchers = 2;
/// In a group with fewer daemons each one watches: there is little to save.
constexpr int LeastDaemons = 6;
/// A fleet of more sends too much between data centres to be one group: at 20 changes a second
/// of 250 bytes, 40 receivers take 1.6 Mbit/s of a watcher's link (worked out).
constexpr int MostDaemons = 40;
/// A store that falls silent without closing anything is found after this time and a little more.
/// With waits of 28 s, engines that left in 10 s of silence took 12 streams with them. A watcher's
/// calls are few, and what it finds late all find late.
constexpr Milliseconds WatcherWait{700};
constexpr Milliseconds SingleWait{1500};
/// Between an answer and the next watch. Targets come and go in groups whose changes are some ms
/// apart, and each change would end a watch; a target that leaves says so 1.5 s ahead.
constexpr Milliseconds FirstPace{50};
/// The second watcher's figures are needed only where the first one's do not arrive.
constexpr Milliseconds SecondPace{400};
/// Calls to a store that is away are priced too. Daemons that others feed, or tell its state while
/// it is away, can find out later: with 71 daemons, a day on which it was down for eight seconds
/// had 4,576 calls at 0.8 s for all and 3,710 so (one run each).
constexpr Milliseconds WatcherBackoff{800};
constexpr Milliseconds FedBackoff{2000};
constexpr Milliseconds Heartbeat{300};
/// Three heartbeats; a target that leaves gets no request two seconds after it said so.
constexpr Milliseconds FeedHolds{1000};
/// Bytes of items in one datagram.
constexpr qsizetype MostBytes = 1100;

} // namespace

StoreFeed::StoreFeed(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                     StoreMirror &mirror)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_mirror(mirror)
    , m_timer(timers.every(Heartbeat, [this] { check(); }))
{
    datagrams.onMessage(DatagramKind::StoreChange,
                        [this](const Peer &, const QCborArray &body) { received(body); });
    mirror.setFeed([this] { return isFed(); }, [this] { return pace(); },
                   [this](const StoreAnswer &answer, Revision base) { changed(answer, base); });
    mirror.setWatchWait([this] { return watchWait(); });
    mirror.onLost([this] { lost(); });
}

StoreFeed::~StoreFeed() = default;

QList<Peer> StoreFeed::group() const
{
    QList<Peer> nearby = m_peers.peersNearby();
    if (isGroup(nearby))
        return nearby;
    const QList<Peer> all = m_peers.peers();
    return all.size() < MostDaemons ? all : nearby;
}

bool StoreFeed::isGroup(const QList<Peer> &others) const
{
    return others.size() + 1 >= LeastDaemons;
}

std::optional<int> StoreFeed::watcherRank() const
{
    const QList<Peer> others = group();
    const int rank = isGroup(others) ? m_peers.rankAmong(others) : Watchers;
    return rank < Watchers ? std::optional<int>(rank) : std::nullopt;
}

Milliseconds StoreFeed::watchWait() const
{
    return isWatcher() ? WatcherWait : SingleWait;
}

Milliseconds StoreFeed::pace() const
{
    return watcherRank().value_or(0) > 0 ? SecondPace : FirstPace;
}

Milliseconds StoreFeed::longestBackoff() const
{
    return isGroup(group()) && !isWatcher() ? FedBackoff : WatcherBackoff;
}

bool StoreFeed::isFed() const
{
    return !isWatcher() && m_timers.now() - m_lastFed < FeedHolds;
}

void StoreFeed::check()
{
    if (isWatcher() && m_mirror.isWatching())
        sendItems({}, m_mirror.revision(), m_mirror.revision());
    m_mirror.checkFeed();
}

void StoreFeed::changed(const StoreAnswer &answer, Revision base)
{
    if (isWatcher())
        sendItems(answer.items, base, answer.asOf);
}

void StoreFeed::lost()
{
    // Nothing will be sent for a while; the others must not wait until they miss the heartbeat.
    if (isWatcher())
        m_datagrams.send(group(), DatagramKind::StoreChange, QCborArray());
}

void StoreFeed::sendItems(const QList<StoreItem> &items, Revision base, Revision revision)
{
    QCborArray entries;
    qsizetype bytes = 0;
    const auto flush = [&](Revision upTo) {
        m_datagrams.send(group(), DatagramKind::StoreChange,
                         QCborArray{base.value(), upTo.value(), entries});
        entries = QCborArray();
        bytes = 0;
        base = upTo;
    };
    Revision last = base;
    for (const StoreItem &item : items) {
        if (bytes > 0 && bytes + item.value.size() > MostBytes)
            flush(last);
        entries.append(QCborArray{item.key, item.value, item.revision.value(), item.isRemoved});
        bytes += item.key.size() + item.value.size();
        last = std::max(last, item.revision);
    }
    flush(revision);
}

void StoreFeed::received(const QCborArray &body)
{
    if (body.isEmpty()) {
        m_lastFed = MonotonicTime();
        m_mirror.checkFeed();
        return;
    }
    m_lastFed = m_timers.now();
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.asOf = Revision(body.at(1).toInteger());
    for (const QCborValue entry : body.at(2).toArray()) {
        const QCborArray fields = entry.toArray();
        answer.items.append({fields.at(0).toString(), fields.at(1).toByteArray(),
                             Revision(fields.at(2).toInteger()), fields.at(3).toBool()});
    }
    m_mirror.fed(answer, Revision(body.at(0).toInteger()));
}

} // namespace cranberry
