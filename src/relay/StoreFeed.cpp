#include "relay/StoreFeed.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/DataCentreHeads.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerState.h"
#include "relay/StoreMirror.h"

#include <QCborArray>
#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

/// In a group with fewer daemons each one watches: there is little to save.
constexpr int LeastDaemons = 6;
/// A fleet of more sends too much between data centres to be one group: at 20 changes a second
/// of 250 bytes, 40 receivers take 1.6 Mbit/s of a watcher's link.
constexpr int MostDaemons = 40;
/// A store that falls silent without closing anything is found after this time and a little more.
/// Engines that leave in the meantime take their streams with them. A watcher's calls are few, and
/// what it finds late all find late.
constexpr Milliseconds WatcherWait{700};
/// Of the first watcher, whose heartbeats keep the others from asking elsewhere.
constexpr Milliseconds FirstWatcherWait{400};
constexpr Milliseconds SingleWait{1500};
/// Between an answer and the next watch. Targets come and go in groups whose changes are some ms
/// apart, and each change would end a watch; a target that leaves says so 1.5 s ahead.
constexpr Milliseconds FirstPace{50};
/// The second watcher's figures are needed only where the first one's do not arrive.
constexpr Milliseconds SecondPace{400};
/// Daemons that others feed, or tell its state while it is away, can find out later that the store
/// is back; calls to a store that is away are wasted.
constexpr Milliseconds WatcherBackoff{800};
constexpr Milliseconds FedBackoff{2000};
constexpr Milliseconds Heartbeat{300};
/// Three heartbeats; a target that leaves gets no request two seconds after it said so.
constexpr Milliseconds FeedHolds{1000};
/// A head that the store turned away follows others for so long before it tries again.
constexpr Milliseconds TurnedAwayHolds{4000};
/// What the sources have and do not send within this time is read from the store: a new
/// configuration must be in force within two seconds in the fleets with the least time.
constexpr Milliseconds PeersMayTake{900};
/// A daemon that starts reads more targets than this from the store and not from another daemon:
/// 500 are some 120 KB, and the heads' links carry 20 Mbit/s where the store's carries 1,000.
constexpr qint64 MostAsked = 500;
/// After a start others may have all that a daemon needs: heads are known once the list is read
/// and hellos were answered, and feed within a heartbeat. If nobody does, all were killed
/// together, and each reads the store itself.
constexpr Milliseconds HeadStartWait{350};
constexpr Milliseconds StartWait{600};
/// When all start at once the list is read after 1.5 s, and the heads read the store first.
constexpr Milliseconds FirstHeadStartWait{1800};
constexpr Milliseconds FirstStartWait{4000};

} // namespace

StoreFeed::StoreFeed(const Parts &parts, bool isFirstStart, const StalenessBounds &bounds,
                     std::function<qint64()> version)
    : m_parts(parts)
    , m_version(std::move(version))
    , m_isFirstStart(isFirstStart)
    , m_configuration{parts.configuration, bounds.configuration,
                      QRandomGenerator::global()->generateDouble()}
    , m_targets{parts.entries, bounds.targets, QRandomGenerator::global()->generateDouble()}
    , m_started(parts.timers.now())
    , m_timer(parts.timers.every(Heartbeat, [this] { check(); }))
{
    parts.datagrams.onMessage(
        DatagramKind::StoreChange,
        [this](const Peer &from, const QCborArray &body) { received(from, body); });
    StoreMirrorFeed feed;
    feed.isFed = [this] { return isFed(); };
    feed.holdsBack = [this] { return holdsBack(); };
    feed.pace = [this] { return pace(); };
    feed.lost = [this] { lost(); };
    feed.changed = [this](const StoreAnswer &answer, Revision base) { changed(answer, base); };
    feed.askPeers = [this] { return askForEntries(); };
    parts.entries.setFeed(feed);
    parts.entries.setWatchWait([this] { return watchWait(); });
    feed.changed = [this](const StoreAnswer &, Revision) { heartbeat(); };
    feed.askPeers = [this] { return askForConfiguration(); };
    // One of the two is enough to find out whether the store is back.
    feed.holdsBack = [this] {
        const bool waitsForEntries = !watchesStore(view()) && m_parts.configuration.hasRead()
            && !m_parts.entries.hasSource();
        return waitsForEntries || holdsBack();
    };
    parts.configuration.setFeed(feed);
    parts.configuration.setWatchWait([this] { return configurationWait(); });
}

StoreFeed::~StoreFeed() = default;

StoreFeed::Group StoreFeed::group() const
{
    const auto isGroup = [](const QList<Peer> &others) {
        return others.size() + 1 >= LeastDaemons;
    };
    const QList<Peer> nearby = m_parts.peers.peersNearby();
    if (isGroup(nearby))
        return {nearby, false};
    const QList<Peer> all = m_parts.peers.peers();
    return isGroup(all) && all.size() < MostDaemons ? Group{all, true} : Group();
}

void StoreFeed::lookUpGroup()
{
    const QList<Peer> others = group().others;
    m_hasGroup = !others.isEmpty();
    m_rankInGroup = m_parts.peers.rankAmong(others);
}

QList<Peer> StoreFeed::receivers(bool hasItems) const
{
    const Group group = this->group();
    const bool staysInGroup = standing() == FeedStanding::PassesOn || group.isWholeFleet;
    if (staysInGroup)
        return group.others;
    if (!hasItems)
        return group.others + m_parts.heads.elsewhere();
    // Changes cross once for each data centre: to its first head, from the first watcher. Other
    // heads hear by their heartbeats what they miss if one of the two is gone.
    QList<Peer> receivers = group.others;
    if (view().watchersBefore > 0)
        return receivers;
    for (const DataCentreId &dataCentre : m_parts.peers.otherDataCentres())
        receivers += m_parts.heads.of(dataCentre).mid(0, 1);
    return receivers;
}

bool StoreFeed::isRecent(const Source &source) const
{
    return m_parts.timers.now() - source.heard < FeedHolds;
}

int StoreFeed::count(FeedStanding standing) const
{
    return int(std::count_if(m_sources.cbegin(), m_sources.cend(), [&](const Source &source) {
        return source.standing == standing && isRecent(source);
    }));
}

FeedView StoreFeed::view() const
{
    FeedView view;
    view.hasGroup = m_hasGroup;
    view.rankInGroup = m_rankInGroup;
    view.isTurnedAway = m_parts.timers.now() < m_turnedAwayUntil;
    for (const Source &source : m_sources) {
        if (source.standing != FeedStanding::Watches || !isRecent(source))
            continue;
        ++view.watchers;
        if (m_parts.peers.isBefore(source.peer))
            ++view.watchersBefore;
    }
    return view;
}

FeedStanding StoreFeed::standing() const
{
    if (m_parts.entries.isWatching())
        return FeedStanding::Watches;
    return isFed() && m_parts.entries.hasRead() ? FeedStanding::PassesOn : FeedStanding::Away;
}

bool StoreFeed::isFed() const
{
    const FeedView now = view();
    if (watchesStore(now))
        return false;
    // A head listens to watchers only: two that pass on would take each other for a source.
    return now.watchers > 0 || (!isGroupHead(now) && count(FeedStanding::PassesOn) > 0);
}

bool StoreFeed::holdsBack() const
{
    const FeedView now = view();
    const bool isAlone =
        !m_isFirstStart && m_parts.peers.hasListed() && m_parts.peers.fleetSize() == 1;
    const Milliseconds wait = watchesStore(now)
        ? (m_isFirstStart ? FirstHeadStartWait : HeadStartWait)
        : (m_isFirstStart ? FirstStartWait : StartWait);
    if (!isAlone && m_parts.timers.now() - m_started < wait)
        return true;
    const bool headsAreAway = !watchesStore(now) && count(FeedStanding::Away) > 0;
    return headsAreAway && m_parts.timers.now() < m_probeDue;
}

Milliseconds StoreFeed::watchWait() const
{
    const FeedView now = view();
    if (!isGroupHead(now))
        return SingleWait;
    return now.watchersBefore > 0 ? WatcherWait : FirstWatcherWait;
}

Milliseconds StoreFeed::configurationWait() const
{
    const Milliseconds wait = stalenessWatchWait(m_configuration.bound);
    // A daemon that watches for itself alone adds no heartbeats to that, and where another one
    // watches as well that one confirms for the fleet.
    if (!m_hasGroup)
        return 2 * wait;
    return view().watchersBefore > 0 ? std::max(wait, WatcherWait) : wait;
}

StalenessView StoreFeed::staleness(const BoundedCopy &copy) const
{
    StalenessView view;
    view.age = copy.mirror.age();
    view.bound = copy.bound;
    view.isTurnedAway = m_parts.timers.now() < m_turnedAwayUntil;
    view.draw = copy.readDraw;
    return view;
}

StalenessView StoreFeed::configurationStaleness() const
{
    StalenessView view = staleness(m_configuration);
    view.sinceRefused =
        std::chrono::duration_cast<Milliseconds>(m_parts.timers.now() - m_refusedAt);
    return view;
}

StalenessView StoreFeed::targetsStaleness() const
{
    StalenessView view = staleness(m_targets);
    view.hasOwnWatch = m_parts.entries.isWatching();
    return view;
}

Milliseconds StoreFeed::pace() const
{
    return view().watchersBefore > 0 ? SecondPace : FirstPace;
}

Milliseconds StoreFeed::longestBackoff() const
{
    const FeedView now = view();
    return now.hasGroup && !isGroupHead(now) ? FedBackoff : WatcherBackoff;
}

void StoreFeed::check()
{
    lookUpGroup();
    if (isGroupHead(view()))
        heartbeat();
    if (isFed())
        planProbe(false);
    for (StoreMirror *mirror : {&m_parts.entries, &m_parts.configuration})
        mirror->checkFeed();
    readIfStale();
}

void StoreFeed::readIfStale()
{
    const StalenessView configuration = configurationStaleness();
    if (takeReadDue(m_configuration, configuration)) {
        m_parts.configuration.readAgain();
        m_isReadingAgain = configuration.isTurnedAway && m_parts.configuration.isReading();
        return;
    }
    // One call is enough to find out whether the store serves this daemon.
    if (!m_parts.configuration.isReading() && takeReadDue(m_targets, targetsStaleness()))
        m_parts.entries.refresh();
}

bool StoreFeed::takeReadDue(BoundedCopy &copy, const StalenessView &view)
{
    noteStep(copy, view);
    // A copy that has never been read is read without that.
    if (stalenessStep(view) != StalenessStep::ReadStore || !copy.mirror.hasRead())
        return false;
    copy.readDraw = QRandomGenerator::global()->generateDouble();
    return true;
}

void StoreFeed::noteStep(BoundedCopy &copy, const StalenessView &view)
{
    const StalenessStep step = stalenessStep(view);
    if (std::exchange(copy.step, step) == step)
        return;
    logEvent(LogLevel::Info, EventId::StalenessChanged,
             {{"prefix", copy.mirror.prefix()},
              {"step", QLatin1String(textOf(step))},
              {"age_ms", QString::number(view.age.count())},
              {"bound_ms", QString::number(view.bound.count())},
              {"confirmed_by", QLatin1String(textOf(copy.mirror.confirmedBy()))},
              {"revision", QString::number(copy.mirror.revision().value())},
              {"turned_away", view.isTurnedAway ? QStringLiteral("yes") : QStringLiteral("no")},
              {"watchers", QString::number(this->view().watchers)}});
}

void StoreFeed::drain()
{
    // Else the others notice only when heartbeats are missing, and meanwhile do not hear which
    // engines leave.
    const bool wasHead = isGroupHead(view());
    const QList<Peer> fed = receivers(false);
    m_parts.peers.drain();
    lookUpGroup();
    if (wasHead)
        m_parts.datagrams.send(fed, DatagramKind::StoreChange, encodeFeed(FeedMessage()));
}

void StoreFeed::planProbe(bool wasRefused)
{
    m_probeDue =
        m_parts.timers.now() + probeDelay(wasRefused, QRandomGenerator::global()->generateDouble());
}

void StoreFeed::heartbeat()
{
    const Revision revision = m_parts.entries.revision();
    sendItems({}, revision, revision);
}

void StoreFeed::changed(const StoreAnswer &answer, Revision base)
{
    sendItems(answer.items, base, answer.asOf);
}

void StoreFeed::lost()
{
    m_refusedAt = m_parts.timers.now();
    // A further refusal says nothing new: it must not postpone the next probe for the targets.
    if (std::exchange(m_isReadingAgain, false) && m_parts.configuration.isReading())
        return;
    m_turnedAwayUntil = m_refusedAt + TurnedAwayHolds;
    planProbe(true);
    // The others must not wait until they miss the heartbeat.
    heartbeat();
}

bool StoreFeed::askForEntries()
{
    // One that lost a message asks the store, where that is a small answer.
    const bool isTurnedAway = m_parts.timers.now() < m_turnedAwayUntil;
    const bool needsAll = !m_parts.entries.hasRead() && m_entriesElsewhere <= MostAsked;
    return (needsAll || isTurnedAway) && ask(sources(), m_entriesMissing);
}

bool StoreFeed::askForConfiguration()
{
    // All daemons of a data centre need it at once, too many for its heads alone; each one that has
    // it answers others.
    QList<Peer> known = sources();
    for (const Peer &peer : m_parts.peers.peersNearby()) {
        if (m_parts.peers.isHeard(peer) && peer.version > m_version())
            known.append(peer);
    }
    return ask(known, m_configurationMissing);
}

QList<Peer> StoreFeed::sources() const
{
    QList<Peer> known;
    for (const Source &source : m_sources) {
        if (source.standing != FeedStanding::Away && isRecent(source))
            known.append(source.peer);
    }
    return known;
}

bool StoreFeed::ask(const QList<Peer> &known, MonotonicTime &missingSince)
{
    const MonotonicTime now = m_parts.timers.now();
    if (missingSince == MonotonicTime())
        missingSince = now;
    if (known.isEmpty() || now - missingSince > PeersMayTake)
        return false;
    m_parts.state.askSoon(known.at(QRandomGenerator::global()->bounded(int(known.size()))));
    return true;
}

void StoreFeed::sendItems(const QList<StoreItem> &items, Revision base, Revision upTo)
{
    if (!isGroupHead(view()))
        return;
    // What a head passes on late is not all that it has.
    const bool isAll = !(upTo < m_parts.entries.revision());
    const FeedMessage whole{standing(),
                            base,
                            upTo,
                            items,
                            m_parts.configuration.requiredPeerRevision(),
                            m_parts.configuration.age(),
                            m_parts.entries.items().size(),
                            isAll ? m_parts.entries.age() : UnknownAge};
    const QList<Peer> receivers = this->receivers(!items.isEmpty());
    for (const FeedMessage &part : splitForDatagrams(whole))
        m_parts.datagrams.send(receivers, DatagramKind::StoreChange, encodeFeed(part));
}

void StoreFeed::received(const Peer &from, const QCborArray &body)
{
    const std::optional<FeedMessage> message = decodeFeed(body);
    if (!message) {
        logEvent(LogLevel::Warning, EventId::PeerFrameInvalid, {{"from", from.vm.text()}});
        return;
    }
    if (from.isDraining)
        m_sources.remove(from.vm);
    else
        m_sources.insert(from.vm, {from, message->standing, m_parts.timers.now()});
    if (message->standing != FeedStanding::Away && isFed()) {
        m_entriesElsewhere = message->targets;
        takeEntries(from, *message);
        takeConfiguration(*message);
    }
    for (StoreMirror *mirror : {&m_parts.entries, &m_parts.configuration})
        mirror->checkFeed();
}

void StoreFeed::takeEntries(const Peer &from, const FeedMessage &message)
{
    StoreMirror &entries = m_parts.entries;
    // A heartbeat may be faster than the change, which comes by way of another head: the next one
    // tells whether the change was lost.
    const bool isBehind =
        message.items.isEmpty() && entries.hasRead() && message.base > entries.revision();
    if (isBehind && !std::exchange(m_wasBehind, true))
        return;
    m_wasBehind = false;
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.items = message.items;
    answer.asOf = message.upTo;
    const bool isNew = answer.asOf > entries.revision();
    if (!entries.fed(answer, message.base))
        return;
    m_entriesMissing = MonotonicTime();
    entries.confirm(m_parts.timers.now() - message.targetsAge, StoreSource::Feed);
    // The own group hears watchers of its own data centre itself.
    const bool isElsewhere = from.dataCentre != m_parts.peers.self().dataCentre;
    if (isNew && isElsewhere)
        sendItems(message.items, message.base, message.upTo);
}

void StoreFeed::takeConfiguration(const FeedMessage &message)
{
    // It is too long for a datagram; a daemon that lacks it asks.
    StoreMirror &configuration = m_parts.configuration;
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.asOf = message.configuration;
    if (configuration.fed(answer, message.configuration))
        m_configurationMissing = MonotonicTime();
    if (configuration.hasRead() && message.configuration <= configuration.revision())
        configuration.confirm(m_parts.timers.now() - message.configurationAge, StoreSource::Feed);
}

} // namespace cranberry
