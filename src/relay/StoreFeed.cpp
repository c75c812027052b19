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

/// In a smaller group each daemon watches the store, as there is little to save.
constexpr int MinGroupSize = 6;
/// A fleet of more daemons would send too much between data centres to be one group: at 20 changes
/// a second of 250 bytes, 40 receivers take 1.6 Mbit/s of a watcher's link.
constexpr int MaxFleetGroupSize = 40;
/// A store that stops answering without closing its connections is detected after this time and a
/// little more. Engines that leave in the meantime take their streams with them. A watcher makes
/// few calls, and whatever it detects late, all daemons detect late.
constexpr Milliseconds WatcherWait{700};
/// The wait of the first watcher, whose heartbeats keep the others from asking elsewhere.
constexpr Milliseconds FirstWatcherWait{400};
constexpr Milliseconds DefaultWait{1500};
/// The delay between an answer and the next watch. Targets join and leave in groups whose changes
/// are some milliseconds apart, and each change would end a watch. A target that leaves announces
/// it 1.5 s ahead.
constexpr Milliseconds FirstWatcherDelay{50};
/// The messages of the second watcher are needed only where those of the first one do not arrive.
constexpr Milliseconds SecondWatcherDelay{400};
/// Daemons that are fed by others, or get the state from them during an outage, may detect later
/// that the store is back. Calls to an unavailable store are wasted.
constexpr Milliseconds MaxWatcherBackoff{800};
constexpr Milliseconds MaxFedBackoff{2000};
constexpr Milliseconds HeartbeatInterval{300};
/// Three heartbeats. A target that leaves must get no request two seconds after it announced it.
constexpr Milliseconds FeedTimeout{1000};
/// A head that the store refused relies on others for this long before it tries again.
constexpr Milliseconds RejectedPeriod{4000};
/// What the sources have but do not send within this time is read from the store: in the fleets
/// with the tightest bound, a new configuration must be in force within two seconds.
constexpr Milliseconds PeerFetchTimeout{900};
/// A daemon that starts reads more targets than this from the store instead of another daemon: 500
/// are about 120 KB, and the heads' links carry 20 Mbit/s where the store's carries 1,000.
constexpr qint64 MaxTargetsFromPeer = 500;
/// After a start, other daemons may have everything that a daemon needs: the heads are known once
/// the list is read and hellos are answered, and they feed within a heartbeat. If none does, all
/// were killed together, and each reads the store itself.
constexpr Milliseconds HeadStartupWait{350};
constexpr Milliseconds StartupWait{600};
/// When the whole fleet starts, the list is read after 1.5 s, and the heads read the store first.
constexpr Milliseconds HeadFleetStartupWait{1800};
constexpr Milliseconds FleetStartupWait{4000};

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
    , m_timer(parts.timers.every(HeartbeatInterval, [this] { check(); }))
{
    parts.datagrams.onMessage(
        DatagramKind::StoreChange,
        [this](const Peer &from, const QCborArray &body) { handleMessage(from, body); });
    StoreMirrorFeed feed;
    feed.isFed = [this] { return isFed(); };
    feed.defersStoreCalls = [this] { return defersStoreCalls(); };
    feed.watchDelay = [this] { return watchDelay(); };
    feed.onUnavailable = [this] { handleStoreUnavailable(); };
    feed.onChanges = [this](const StoreAnswer &answer, Revision base) {
        forwardChanges(answer, base);
    };
    feed.askPeers = [this] { return askForEntries(); };
    parts.entries.setFeed(feed);
    parts.entries.setWatchWait([this] { return watchWait(); });
    feed.onChanges = [this](const StoreAnswer &, Revision) { heartbeat(); };
    feed.askPeers = [this] { return askForConfiguration(); };
    // One of the two mirrors is enough to detect that the store is back.
    feed.defersStoreCalls = [this] {
        const bool waitsForEntries = !watchesStore(view()) && m_parts.configuration.hasRead()
            && !m_parts.entries.hasSource();
        return waitsForEntries || defersStoreCalls();
    };
    parts.configuration.setFeed(feed);
    parts.configuration.setWatchWait([this] { return configurationWait(); });
}

StoreFeed::~StoreFeed() = default;

StoreFeed::Group StoreFeed::group() const
{
    const auto isGroup = [](const QList<Peer> &others) {
        return others.size() + 1 >= MinGroupSize;
    };
    const QList<Peer> local = m_parts.peers.localPeers();
    if (isGroup(local))
        return {local, false};
    const QList<Peer> all = m_parts.peers.peers();
    return isGroup(all) && all.size() < MaxFleetGroupSize ? Group{all, true} : Group();
}

void StoreFeed::updateGroup()
{
    const QList<Peer> others = group().others;
    m_hasGroup = !others.isEmpty();
    m_rankInGroup = m_parts.peers.rankAmong(others);
}

QList<Peer> StoreFeed::receivers(bool hasItems) const
{
    const Group group = this->group();
    const bool staysInGroup = role() == FeedRole::Forwarder || group.isWholeFleet;
    if (staysInGroup)
        return group.others;
    if (!hasItems)
        return group.others + m_parts.heads.remoteHeads();
    // Changes are sent once for each data centre: from the first watcher to the first head there.
    // If one of the two is gone, heartbeats show the other heads what they miss.
    QList<Peer> receivers = group.others;
    if (view().watchersBefore > 0)
        return receivers;
    for (const DataCentreId &dataCentre : m_parts.peers.otherDataCentres())
        receivers += m_parts.heads.headsOf(dataCentre).mid(0, 1);
    return receivers;
}

bool StoreFeed::isRecent(const Source &source) const
{
    return m_parts.timers.now() - source.heardAt < FeedTimeout;
}

int StoreFeed::count(FeedRole role) const
{
    return int(std::count_if(m_sources.cbegin(), m_sources.cend(), [&](const Source &source) {
        return source.role == role && isRecent(source);
    }));
}

FeedView StoreFeed::view() const
{
    FeedView view;
    view.hasGroup = m_hasGroup;
    view.rankInGroup = m_rankInGroup;
    view.isRejectedByStore = m_parts.timers.now() < m_rejectedUntil;
    for (const Source &source : m_sources) {
        if (source.role != FeedRole::Watcher || !isRecent(source))
            continue;
        ++view.watchers;
        if (m_parts.peers.precedesSelf(source.peer))
            ++view.watchersBefore;
    }
    return view;
}

FeedRole StoreFeed::role() const
{
    if (m_parts.entries.isWatching())
        return FeedRole::Watcher;
    return isFed() && m_parts.entries.hasRead() ? FeedRole::Forwarder : FeedRole::Disconnected;
}

bool StoreFeed::isFed() const
{
    const FeedView now = view();
    if (watchesStore(now))
        return false;
    // A head listens to watchers only, as two forwarders would take each other for a source.
    return now.watchers > 0 || (!isGroupHead(now) && count(FeedRole::Forwarder) > 0);
}

bool StoreFeed::defersStoreCalls() const
{
    const FeedView now = view();
    const bool isAlone =
        !m_isFirstStart && m_parts.peers.hasListed() && m_parts.peers.fleetSize() == 1;
    const Milliseconds wait = watchesStore(now)
        ? (m_isFirstStart ? HeadFleetStartupWait : HeadStartupWait)
        : (m_isFirstStart ? FleetStartupWait : StartupWait);
    if (!isAlone && m_parts.timers.now() - m_started < wait)
        return true;
    const bool headsAreAway = !watchesStore(now) && count(FeedRole::Disconnected) > 0;
    return headsAreAway && m_parts.timers.now() < m_nextProbe;
}

Milliseconds StoreFeed::watchWait() const
{
    const FeedView now = view();
    if (!isGroupHead(now))
        return DefaultWait;
    return now.watchersBefore > 0 ? WatcherWait : FirstWatcherWait;
}

Milliseconds StoreFeed::configurationWait() const
{
    const Milliseconds wait = stalenessWatchWait(m_configuration.bound);
    // A daemon that watches only for itself sends no heartbeats, whose interval would add to the
    // wait. Where another daemon watches as well, that one confirms for the fleet.
    if (!m_hasGroup)
        return 2 * wait;
    return view().watchersBefore > 0 ? std::max(wait, WatcherWait) : wait;
}

StalenessView StoreFeed::staleness(const BoundedCopy &copy) const
{
    StalenessView view;
    view.age = copy.mirror.age();
    view.bound = copy.bound;
    view.isRejectedByStore = m_parts.timers.now() < m_rejectedUntil;
    view.randomFraction = copy.readFraction;
    return view;
}

StalenessView StoreFeed::configurationStaleness() const
{
    StalenessView view = staleness(m_configuration);
    view.timeSinceRefusal =
        std::chrono::duration_cast<Milliseconds>(m_parts.timers.now() - m_lastRefusal);
    return view;
}

StalenessView StoreFeed::targetsStaleness() const
{
    StalenessView view = staleness(m_targets);
    view.hasOwnWatch = m_parts.entries.isWatching();
    return view;
}

Milliseconds StoreFeed::watchDelay() const
{
    return view().watchersBefore > 0 ? SecondWatcherDelay : FirstWatcherDelay;
}

Milliseconds StoreFeed::maxBackoff() const
{
    const FeedView now = view();
    return now.hasGroup && !isGroupHead(now) ? MaxFedBackoff : MaxWatcherBackoff;
}

void StoreFeed::check()
{
    updateGroup();
    if (isGroupHead(view()))
        heartbeat();
    if (isFed())
        scheduleProbe(false);
    for (StoreMirror *mirror : {&m_parts.entries, &m_parts.configuration})
        mirror->checkFeed();
    readIfStale();
}

void StoreFeed::readIfStale()
{
    const StalenessView configuration = configurationStaleness();
    if (checkReadDue(m_configuration, configuration)) {
        m_parts.configuration.readAgain();
        m_isReadingAgain = configuration.isRejectedByStore && m_parts.configuration.isReading();
        return;
    }
    // One call is enough to find out whether the store serves this daemon.
    if (!m_parts.configuration.isReading() && checkReadDue(m_targets, targetsStaleness()))
        m_parts.entries.refresh();
}

bool StoreFeed::checkReadDue(BoundedCopy &copy, const StalenessView &view)
{
    logStepChange(copy, view);
    // The first read of a copy is started by its mirror.
    if (stalenessStep(view) != StalenessStep::ReadStore || !copy.mirror.hasRead())
        return false;
    copy.readFraction = QRandomGenerator::global()->generateDouble();
    return true;
}

void StoreFeed::logStepChange(BoundedCopy &copy, const StalenessView &view)
{
    const StalenessStep step = stalenessStep(view);
    if (std::exchange(copy.step, step) == step)
        return;
    logEvent(
        LogLevel::Info, EventId::StalenessChanged,
        {{"prefix", copy.mirror.prefix()},
         {"step", QLatin1String(textOf(step))},
         {"age_ms", QString::number(view.age.count())},
         {"bound_ms", QString::number(view.bound.count())},
         {"confirmed_by", QLatin1String(textOf(copy.mirror.confirmedBy()))},
         {"revision", QString::number(copy.mirror.revision().value())},
         {"turned_away", view.isRejectedByStore ? QStringLiteral("yes") : QStringLiteral("no")},
         {"watchers", QString::number(this->view().watchers)}});
}

void StoreFeed::drain()
{
    // Otherwise the others notice only when heartbeats are missing, and until then do not hear
    // which engines leave.
    const bool wasHead = isGroupHead(view());
    const QList<Peer> fedPeers = receivers(false);
    m_parts.peers.drain();
    updateGroup();
    if (wasHead)
        m_parts.datagrams.send(fedPeers, DatagramKind::StoreChange,
                               encodeFeedMessage(FeedMessage()));
}

void StoreFeed::scheduleProbe(bool wasRefused)
{
    m_nextProbe =
        m_parts.timers.now() + probeDelay(wasRefused, QRandomGenerator::global()->generateDouble());
}

void StoreFeed::heartbeat()
{
    const Revision revision = m_parts.entries.revision();
    sendItems({}, revision, revision);
}

void StoreFeed::forwardChanges(const StoreAnswer &answer, Revision base)
{
    sendItems(answer.items, base, answer.asOf);
}

void StoreFeed::handleStoreUnavailable()
{
    m_lastRefusal = m_parts.timers.now();
    // A further refusal brings no new information and must not postpone the next probe for the
    // targets.
    if (std::exchange(m_isReadingAgain, false) && m_parts.configuration.isReading())
        return;
    m_rejectedUntil = m_lastRefusal + RejectedPeriod;
    scheduleProbe(true);
    // The others must not wait until heartbeats are missing.
    heartbeat();
}

bool StoreFeed::askForEntries()
{
    // A daemon that lost a message asks the store, where the answer is small.
    const bool isRejectedByStore = m_parts.timers.now() < m_rejectedUntil;
    const bool needsAll = !m_parts.entries.hasRead() && m_peerTargetCount <= MaxTargetsFromPeer;
    return (needsAll || isRejectedByStore) && ask(sources(), m_entriesMissingSince);
}

bool StoreFeed::askForConfiguration()
{
    // All daemons of a data centre need the configuration at once, too many for its heads alone.
    // Each daemon that has it answers others.
    QList<Peer> known = sources();
    for (const Peer &peer : m_parts.peers.localPeers()) {
        if (m_parts.peers.isRecentlyHeard(peer) && peer.configurationVersion > m_version())
            known.append(peer);
    }
    return ask(known, m_configurationMissingSince);
}

QList<Peer> StoreFeed::sources() const
{
    QList<Peer> known;
    for (const Source &source : m_sources) {
        if (source.role != FeedRole::Disconnected && isRecent(source))
            known.append(source.peer);
    }
    return known;
}

bool StoreFeed::ask(const QList<Peer> &known, MonotonicTime &missingSince)
{
    const MonotonicTime now = m_parts.timers.now();
    if (missingSince == MonotonicTime())
        missingSince = now;
    if (known.isEmpty() || now - missingSince > PeerFetchTimeout)
        return false;
    m_parts.state.scheduleFetch(known.at(QRandomGenerator::global()->bounded(int(known.size()))));
    return true;
}

void StoreFeed::sendItems(const QList<StoreItem> &items, Revision base, Revision upTo)
{
    if (!isGroupHead(view()))
        return;
    // What a head forwards late does not cover everything that it has.
    const bool isAll = !(upTo < m_parts.entries.revision());
    const FeedMessage whole{role(),
                            base,
                            upTo,
                            items,
                            m_parts.configuration.requiredPeerRevision(),
                            m_parts.configuration.age(),
                            m_parts.entries.items().size(),
                            isAll ? m_parts.entries.age() : UnknownAge};
    const QList<Peer> receivers = this->receivers(!items.isEmpty());
    for (const FeedMessage &part : splitForDatagrams(whole))
        m_parts.datagrams.send(receivers, DatagramKind::StoreChange, encodeFeedMessage(part));
}

void StoreFeed::handleMessage(const Peer &from, const QCborArray &body)
{
    const std::optional<FeedMessage> message = decodeFeedMessage(body);
    if (!message) {
        logEvent(LogLevel::Warning, EventId::PeerFrameInvalid, {{"from", from.vm.text()}});
        return;
    }
    if (from.isDraining)
        m_sources.remove(from.vm);
    else
        m_sources.insert(from.vm, {from, message->role, m_parts.timers.now()});
    if (message->role != FeedRole::Disconnected && isFed()) {
        m_peerTargetCount = message->targetCount;
        applyEntries(from, *message);
        applyConfiguration(*message);
    }
    for (StoreMirror *mirror : {&m_parts.entries, &m_parts.configuration})
        mirror->checkFeed();
}

void StoreFeed::applyEntries(const Peer &from, const FeedMessage &message)
{
    StoreMirror &entries = m_parts.entries;
    // A heartbeat may arrive before the change, which comes by way of another head. The next
    // heartbeat shows whether the change was lost.
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
    if (!entries.applyFeed(answer, message.base))
        return;
    m_entriesMissingSince = MonotonicTime();
    entries.confirm(m_parts.timers.now() - message.targetsAge, StoreSource::Feed);
    // The daemons of this group hear the watchers of their own data centre directly.
    const bool isElsewhere = from.dataCentre != m_parts.peers.self().dataCentre;
    if (isNew && isElsewhere)
        sendItems(message.items, message.base, message.upTo);
}

void StoreFeed::applyConfiguration(const FeedMessage &message)
{
    // The configuration is too large for a datagram; a daemon that lacks it asks for it.
    StoreMirror &configuration = m_parts.configuration;
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.asOf = message.configurationRevision;
    if (configuration.applyFeed(answer, message.configurationRevision))
        m_configurationMissingSince = MonotonicTime();
    if (configuration.hasRead() && message.configurationRevision <= configuration.revision())
        configuration.confirm(m_parts.timers.now() - message.configurationAge, StoreSource::Feed);
}

} // namespace cranberry
