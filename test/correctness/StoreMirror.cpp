// What a daemon makes of the store's changes that other daemons tell it.
#define BOOST_TEST_MODULE StoreMirror
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/StableHash.h"
#include "http/CallerReply.h"
#include "http/HttpClient.h"
#include "http/HttpListener.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerState.h"
#include "relay/RelayCounters.h"
#include "relay/StoreMirror.h"
#include "relay/StoreProtocol.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"
#include "support/SlowHttpServer.h"

#include <QCborArray>
#include <QCborMap>
#include <QRandomGenerator>

#include <algorithm>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const QString Key = QStringLiteral("targets/x");
const HttpEndpoint Nowhere{QStringLiteral("127.0.0.1"), 1};

StoreItem item(const QString &key, qint64 revision, bool isRemoved = false)
{
    return {key, isRemoved ? QByteArray() : QByteArray("value"), Revision(revision), isRemoved};
}

StoreAnswer answerOf(const QList<StoreItem> &items, qint64 asOf)
{
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.items = items;
    answer.asOf = Revision(asOf);
    return answer;
}

StalenessView unknownAge()
{
    return {};
}

StalenessView staleAndTurnedAway()
{
    StalenessView view;
    view.isRejectedByStore = true;
    return view;
}

StalenessView freshTargets()
{
    StalenessView view;
    view.age = 0ms;
    view.bound = 2000ms;
    return view;
}

/// A mirror that others feed; its store cannot be reached.
struct FedMirror {
    FedMirror(TimerService &timers, HttpClient &client)
        : mirror(timers, client, Nowhere, protocol, counters, QStringLiteral("targets/"))
    {
        StoreMirrorFeed feed;
        feed.isFed = [this] { return isFed; };
        feed.defersStoreCalls = [] { return true; };
        feed.askPeers = [this] {
            ++asked;
            return true;
        };
        mirror.setFeed(feed);
        mirror.setCallbacks({[](const StoreItem &) {}, [](const QString &) {}});
        mirror.start();
    }

    bool has(const QString &key) const { return mirror.items().contains(key); }

    StoreProtocol protocol;
    RelayCounters counters;
    bool isFed = true;
    int asked = 0;
    StoreMirror mirror;
};

struct Fixture {
    Fixture() { test::ensureApplication(); }

    test::ManualTimers timers;
    HttpClient client{timers};
};

} // namespace

// Two daemons pass on the same change, one of them late. A target that had left meanwhile came
// back by the late message, and nothing took it away again.
BOOST_FIXTURE_TEST_CASE(LateMessageBringsNothingBack, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.mergePeerCopy({}, {}, Revision(5));
    const StoreAnswer joined = answerOf({item(Key, 6)}, 6);
    BOOST_TEST(fed.mirror.applyFeed(joined, Revision(5)));
    BOOST_TEST(fed.has(Key));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({item(Key, 7, true)}, 7), Revision(6)));
    BOOST_TEST(!fed.has(Key));
    BOOST_TEST(fed.mirror.applyFeed(joined, Revision(5)));
    BOOST_TEST(!fed.has(Key));
}

// A message was lost on the way: the next one does not follow on what is there, and is not taken
// before the gap is closed.
BOOST_FIXTURE_TEST_CASE(GapIsAskedFor, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.mergePeerCopy({}, {}, Revision(5));
    BOOST_TEST(!fed.mirror.applyFeed(answerOf({item(Key, 9)}, 9), Revision(8)));
    BOOST_TEST(fed.asked == 1);
    BOOST_TEST(!fed.has(Key));
    fed.mirror.mergePeerCopy({item(Key, 9)}, {Key}, Revision(9));
    BOOST_TEST(fed.has(Key));
}

// Guards against confirming a peer's copy that still holds a key removed before this daemon's first
// read.
BOOST_FIXTURE_TEST_CASE(RemovalsBeforeTheFirstReadMayBeMissing, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(9));
    BOOST_TEST((fed.mirror.requiredPeerRevision() == Revision(9)));
}

// The leases of all targets lapsed while the store was down, and a daemon that had just started
// knew none of them. One that asked it took its answer for the truth and had no target for
// seconds; entries that lapsed are back within two.
BOOST_FIXTURE_TEST_CASE(EntriesThatLapsedAreDoubted, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({}, 5), Revision(5)));
    fed.isFed = false;
    fed.mirror.checkFeed();
    fed.mirror.mergePeerCopy({}, {}, Revision(8));
    BOOST_TEST(fed.has(Key));
    timers.advance(1900ms);
    BOOST_TEST(fed.has(Key));
    timers.advance(200ms);
    BOOST_TEST(!fed.has(Key));
}

// Guards against requests to a target that left while its daemon had lost its feed for a moment.
BOOST_FIXTURE_TEST_CASE(RemovalBeforeAnyLeaseCanLapseIsNotDoubted, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.setMinExpiryOutage(2400ms);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({}, 5), Revision(5)));
    fed.mirror.confirm(timers.now(), StoreSource::Feed);
    fed.isFed = false;
    fed.mirror.checkFeed();
    timers.advance(1500ms);
    fed.mirror.mergePeerCopy({}, {}, Revision(8));
    BOOST_TEST(!fed.has(Key));
}

// Guards against a fleet without targets after an outage in which all leases lapsed.
BOOST_FIXTURE_TEST_CASE(RemovalAfterLeasesMayHaveLapsedIsDoubted, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.setMinExpiryOutage(2400ms);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({}, 5), Revision(5)));
    fed.mirror.confirm(timers.now(), StoreSource::Feed);
    fed.isFed = false;
    fed.mirror.checkFeed();
    timers.advance(2500ms);
    fed.mirror.mergePeerCopy({}, {}, Revision(8));
    BOOST_TEST(fed.has(Key));
}

// The end of an evacuation was found by a read after the store had been away, and was doubted for
// two seconds as if a lease had lapsed. Daemons that asked meanwhile were given the key beside a
// revision at which it was gone, and never heard of its end. The operator's keys have no leases.
BOOST_FIXTURE_TEST_CASE(KeysWithoutLeasesAreNotDoubted, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.setKeysExpire(false);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({}, 5), Revision(5)));
    fed.isFed = false;
    fed.mirror.checkFeed();
    fed.mirror.mergePeerCopy({}, {}, Revision(8));
    BOOST_TEST(!fed.has(Key));
    BOOST_TEST((fed.mirror.newestRevision() == Revision(8)));
}

// An evacuation was taken back: its key was gone, and the latest change of the keys that were left
// was an older one. Daemons that compare it to what they have did not ask, and kept the evacuation.
BOOST_FIXTURE_TEST_CASE(NewestCountsRemovals, Fixture)
{
    FedMirror fed(timers, client);
    fed.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST((fed.mirror.newestRevision() == Revision(4)));
    BOOST_TEST(fed.mirror.applyFeed(answerOf({item(Key, 7, true)}, 7), Revision(5)));
    BOOST_TEST((fed.mirror.newestRevision() == Revision(7)));
    // Found by a read, which does not say when it was removed.
    fed.mirror.mergePeerCopy({item(Key, 8)}, {Key}, Revision(8));
    fed.mirror.mergePeerCopy({}, {}, Revision(12));
    BOOST_TEST((fed.mirror.newestRevision() == Revision(12)));
}

// Messages are lost, repeated and reordered, by seeds. Whatever comes, the daemon never goes back
// to an older revision, and after a whole answer it holds what the store holds.
BOOST_FIXTURE_TEST_CASE(NeverGoesBackWhateverArrives, Fixture)
{
    for (quint32 seed = 1; seed <= 300; ++seed) {
        QRandomGenerator random(seed);
        FedMirror fed(timers, client);
        fed.mirror.mergePeerCopy({}, {}, Revision(1));
        QHash<QString, qint64> store;
        QList<std::pair<StoreAnswer, Revision>> sent;
        for (qint64 revision = 2; revision < 60; ++revision) {
            const QString key = QStringLiteral("targets/%1").arg(random.bounded(5));
            const bool isRemoved = store.contains(key) && random.bounded(2) == 0;
            isRemoved ? void(store.remove(key)) : void(store.insert(key, revision));
            sent.append(
                {answerOf({item(key, revision, isRemoved)}, revision), Revision(revision - 1)});
            const Revision before = fed.mirror.revision();
            for (int copy = random.bounded(3); copy > 0; --copy) {
                const qsizetype late = random.bounded(int(std::min<qsizetype>(4, sent.size())));
                const auto &[answer, base] = sent.at(sent.size() - 1 - late);
                fed.mirror.applyFeed(answer, base);
            }
            BOOST_REQUIRE(!(fed.mirror.revision() < before));
            if (random.bounded(8) > 0)
                continue;
            QList<StoreItem> whole;
            for (auto entry = store.cbegin(); entry != store.cend(); ++entry)
                whole.append(item(entry.key(), entry.value()));
            const QList<QString> keys = store.keys();
            fed.mirror.mergePeerCopy(whole, {keys.cbegin(), keys.cend()}, Revision(revision));
            BOOST_REQUIRE(fed.mirror.items().size() == store.size());
        }
    }
}

namespace {

/// A daemon that asks another one for what it has of the store.
struct AskingDaemon {
    AskingDaemon()
        : client(timers)
        , peers(timers, client, Nowhere, protocol, counters, selfPeer())
        , listener(
              timers,
              [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
                  answering.handle(request, reply);
              },
              [](ErrorKind) { return HttpResponse(); })
    {
        told.mirror.mergePeerCopy({item(QStringLiteral("c"), 8)}, {QStringLiteral("c")},
                                  Revision(8));
    }

    static Peer selfPeer()
    {
        test::ensureApplication();
        Peer self;
        self.vm = VmId(QStringLiteral("vm"));
        return self;
    }

    /// Until the configuration of the other one is here.
    void ask(const PeerState::Staleness &staleness)
    {
        PeerState asking(timers, client, peers, configuration.mirror, entries.mirror, counters,
                         staleness);
        Peer peer;
        peer.endpoint = {QStringLiteral("127.0.0.1"),
                         listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value()};
        asking.scheduleFetch(peer);
        BOOST_TEST(test::waitFor([&] { return configuration.has(QStringLiteral("c")); }));
    }

    QtTimerService timers;
    HttpClient client;
    StoreProtocol protocol;
    RelayCounters counters;
    PeerDirectory peers;
    /// Of the daemon that is asked.
    FedMirror told{timers, client};
    FedMirror toldEntries{timers, client};
    PeerState answering{
        timers, client, peers, told.mirror, toldEntries.mirror, counters, {unknownAge, unknownAge}};
    HttpListener listener;
    FedMirror entries{timers, client};
    FedMirror configuration{timers, client};
};

} // namespace

// A daemon that lacked the configuration asked another one for it alone. The answer named a newer
// revision of the targets and held none of them, and all targets were removed.
BOOST_AUTO_TEST_CASE(AnswerWithoutEntriesRemovesNone)
{
    AskingDaemon daemon;
    daemon.toldEntries.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(9));
    daemon.entries.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    daemon.ask({unknownAge, freshTargets});
    BOOST_TEST(daemon.entries.has(Key));
}

// Guards against lists of all keys of thousands of targets between daemons that the store serves.
BOOST_AUTO_TEST_CASE(PeersAreNotAskedForTargetsThatTheStoreTells)
{
    AskingDaemon daemon;
    daemon.toldEntries.mirror.mergePeerCopy({item(Key, 9)}, {Key}, Revision(9));
    daemon.entries.mirror.mergePeerCopy({}, {}, Revision(5));
    daemon.ask({unknownAge, unknownAge});
    BOOST_TEST((daemon.entries.mirror.revision() == Revision(5)));
}

// Guards against a target that is kept for good, as it was told beside a revision at which it was
// gone.
BOOST_AUTO_TEST_CASE(DoubtedEntriesAreNotTold)
{
    AskingDaemon daemon;
    StoreMirror &doubting = daemon.toldEntries.mirror;
    doubting.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    BOOST_TEST(doubting.applyFeed(answerOf({}, 5), Revision(5)));
    daemon.toldEntries.isFed = false;
    doubting.checkFeed();
    daemon.toldEntries.isFed = true;
    doubting.mergePeerCopy({}, {}, Revision(9));
    BOOST_REQUIRE(daemon.toldEntries.has(Key));
    daemon.entries.mirror.mergePeerCopy({item(Key, 4)}, {Key}, Revision(5));
    daemon.ask({unknownAge, staleAndTurnedAway});
    BOOST_TEST((daemon.entries.mirror.revision() == Revision(9)));
    BOOST_TEST(!daemon.entries.has(Key));
}

namespace {

/// A mirror with a watch of its own to a store that answers when the test says so.
struct WatchingMirror {
    WatchingMirror(TimerService &timers, HttpClient &client)
        : listener(
            timers,
            [this](const HttpRequest &, const std::shared_ptr<CallerReply> &held) { reply = held; },
            [](ErrorKind) { return HttpResponse(); })
    {
        protocol.watch = [this](const QString &, Revision, Milliseconds wanted) {
            wait = wanted;
            HttpRequest request;
            request.method = "GET";
            request.path = "/watch";
            return request;
        };
        protocol.readItems = [this](const HttpResponse &) { return answer; };
        const quint16 port = listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value();
        mirror = std::make_unique<StoreMirror>(timers, client,
                                               HttpEndpoint{QStringLiteral("127.0.0.1"), port},
                                               protocol, counters, QStringLiteral("targets/"));
        mirror->setCallbacks({[](const StoreItem &) {}, [](const QString &) {}});
        mirror->mergePeerCopy({}, {}, Revision(5));
        mirror->start();
    }

    void answerWith(const StoreAnswer &given)
    {
        BOOST_REQUIRE(test::waitFor([this] { return reply != nullptr; }));
        answer = given;
        reply->send({200, {}, {}});
        BOOST_REQUIRE(
            test::waitFor([this] { return mirror->confirmedBy() == StoreSource::Watch; }));
    }

    StoreProtocol protocol;
    RelayCounters counters;
    StoreAnswer answer;
    Milliseconds wait{0};
    std::shared_ptr<CallerReply> reply;
    HttpListener listener;
    std::unique_ptr<StoreMirror> mirror;
};

} // namespace

// Guards against a copy that counts as older than it is after a quiet watch.
BOOST_FIXTURE_TEST_CASE(QuietWatchConfirmsItsWholeWait, Fixture)
{
    WatchingMirror watching(timers, client);
    timers.advance(watching.wait + 20ms);
    watching.answerWith(answerOf({}, 5));
    BOOST_TEST(watching.mirror->age().count() == 20);
}

// Guards against a copy that counts as fresh up to changes that an answer cannot have.
BOOST_FIXTURE_TEST_CASE(WatchWithChangesConfirmsItsBegin, Fixture)
{
    WatchingMirror watching(timers, client);
    timers.advance(watching.wait + 20ms);
    const qint64 wait = watching.wait.count();
    watching.answerWith(answerOf({item(Key, 6)}, 6));
    BOOST_TEST(watching.mirror->age().count() == wait + 20);
}

// Guards against aborting and restarting a read whose response takes longer than the timeout to
// transfer although data keeps arriving.
BOOST_AUTO_TEST_CASE(SlowReadThatMakesProgressCompletes)
{
    test::ensureApplication();
    test::SlowHttpServer server([](const QByteArray &) { return QByteArray(2000, 'x'); }, 100,
                                100ms);
    QtTimerService timers;
    HttpClient client(timers);
    RelayCounters counters;
    StoreProtocol protocol;
    protocol.range = [](const QString &, const QString &) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/read";
        return request;
    };
    protocol.watch = [](const QString &, Revision, Milliseconds) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/watch";
        return request;
    };
    protocol.readItems = [](const HttpResponse &) { return answerOf({item(Key, 4)}, 5); };
    StoreMirror mirror(timers, client, {QStringLiteral("127.0.0.1"), server.port()}, protocol,
                       counters, QStringLiteral("targets/"));
    StoreMirrorFeed feed;
    feed.isFed = [] { return false; };
    feed.defersStoreCalls = [] { return false; };
    feed.watchDelay = [] { return 100ms; };
    feed.onUnavailable = [] {};
    feed.onChanges = [](const StoreAnswer &, Revision) {};
    mirror.setFeed(feed);
    mirror.setCallbacks({[](const StoreItem &) {}, [](const QString &) {}});
    mirror.start();
    BOOST_TEST(test::waitFor([&] { return mirror.items().contains(Key); }));
}

namespace {

StalenessView nearlyStale()
{
    StalenessView view;
    view.age = 1000ms;
    view.bound = 2000ms;
    return view;
}

/// The response of a peer that has a newer configuration. Contents are included only if @p isFetch.
QByteArray newerStateResponse(bool isFetch)
{
    QCborArray changed;
    if (isFetch)
        changed.append(QCborArray{QStringLiteral("c"), QByteArray(2000, 'x'), 8});
    const QCborArray keys{QStringLiteral("c")};
    return QCborMap{
        {QStringLiteral("configuration"), QCborArray{8, changed, isFetch ? keys : QCborArray()}},
        {QStringLiteral("age"), 0}}
        .toCborValue()
        .toCbor();
}

/// A daemon whose configuration is close to its age limit, and a slow peer with a newer one.
struct StaleDaemon {
    explicit StaleDaemon(TimerService &timers, bool isFetchAnswered)
        : server(
            [isFetchAnswered](const QByteArray &path) {
                const bool isFetch = isFetchOf(path);
                return isFetch && !isFetchAnswered ? QByteArray() : newerStateResponse(isFetch);
            },
            100, 100ms)
        , client(timers)
        , peers(timers, client, Nowhere, protocol, counters, AskingDaemon::selfPeer())
        , entries(timers, client)
        , configuration(timers, client)
        , asking(timers, client, peers, configuration.mirror, entries.mirror, counters,
                 {nearlyStale, freshTargets})
    {
        Peer peer;
        peer.vm = VmId(QStringLiteral("other"));
        peer.endpoint = {QStringLiteral("127.0.0.1"), server.port()};
        peers.recordMessage(peer);
        configuration.mirror.mergePeerCopy({}, {}, Revision(5));
        entries.mirror.mergePeerCopy({}, {}, Revision(5));
    }

    static bool isFetchOf(const QByteArray &path) { return path.startsWith("/state/5/"); }

    qsizetype fetches() const
    {
        return std::count_if(server.paths().cbegin(), server.paths().cend(), isFetchOf);
    }

    test::SlowHttpServer server;
    HttpClient client;
    StoreProtocol protocol;
    RelayCounters counters;
    PeerDirectory peers;
    FedMirror entries;
    FedMirror configuration;
    PeerState asking;
};

} // namespace

// Guards against concurrent transfers of the whole configuration that saturate the link.
BOOST_FIXTURE_TEST_CASE(AtMostOneFetchIsInProgress, Fixture)
{
    StaleDaemon daemon(timers, false);
    for (int asked = 1; asked <= 6; ++asked) {
        timers.advance(100ms);
        BOOST_REQUIRE(test::waitFor([&] { return daemon.server.paths().size() >= asked; }));
    }
    BOOST_REQUIRE(test::waitFor([&] { return daemon.fetches() > 0; }));
    BOOST_TEST(daemon.fetches() == 1);
}

// Guards against aborting and restarting the transfer of a response that takes longer than the
// timeout of a request for revisions.
BOOST_AUTO_TEST_CASE(SlowFetchThatMakesProgressCompletes)
{
    test::ensureApplication();
    QtTimerService timers;
    StaleDaemon daemon(timers, true);
    BOOST_TEST(test::waitFor([&] { return daemon.configuration.has(QStringLiteral("c")); }));
}

// Guards against confirming a copy that still holds a key removed before the peer's first read.
BOOST_AUTO_TEST_CASE(KeyRemovedBeforeThePeersFirstReadIsRemoved)
{
    const QString removedKey = QStringLiteral("k");
    const QString keptKey = QStringLiteral("c");
    AskingDaemon daemon;
    FedMirror told(daemon.timers, daemon.client);
    told.mirror.mergePeerCopy({item(keptKey, 8)}, {keptKey}, Revision(10));
    daemon.toldEntries.mirror.mergePeerCopy({}, {}, Revision(10));
    const PeerState answering(daemon.timers, daemon.client, daemon.peers, told.mirror,
                              daemon.toldEntries.mirror, daemon.counters,
                              {freshTargets, freshTargets});
    HttpListener listener(
        daemon.timers,
        [&](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
            answering.handle(request, reply);
        },
        [](ErrorKind) { return HttpResponse(); });
    daemon.configuration.mirror.mergePeerCopy({item(keptKey, 8), item(removedKey, 4)},
                                              {keptKey, removedKey}, Revision(8));
    daemon.entries.mirror.mergePeerCopy({}, {}, Revision(10));
    Peer peer;
    peer.vm = VmId(QStringLiteral("other"));
    peer.endpoint = {QStringLiteral("127.0.0.1"),
                     listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value()};
    daemon.peers.recordMessage(peer);
    const PeerState asking(daemon.timers, daemon.client, daemon.peers, daemon.configuration.mirror,
                           daemon.entries.mirror, daemon.counters, {nearlyStale, freshTargets});
    BOOST_TEST(test::waitFor([&] { return !daemon.configuration.has(removedKey); }));
}

// Guards against uncompressed responses: documents of several hundred KB take seconds to reach all
// daemons of a data centre over links of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(FetchedDocumentIsCompressed)
{
    AskingDaemon daemon;
    daemon.toldEntries.mirror.mergePeerCopy({}, {}, Revision(5));
    QByteArray document;
    for (int route = 0; route < 2000; ++route)
        document += "{\"name\":\"r-" + QByteArray::number(stableHash(QString::number(route)), 36)
            + "\",\"host\":\"a.example\",\"kind\":\"unsafe\",\"service\":\"plain\"},";
    daemon.told.mirror.mergePeerCopy({{QStringLiteral("c"), document, Revision(9), false}},
                                     {QStringLiteral("c")}, Revision(9));
    daemon.ask({unknownAge, freshTargets});
    BOOST_TEST((daemon.configuration.mirror.items().value(QStringLiteral("c")).value == document));
    BOOST_TEST(daemon.counters.peerStateBytesSent < document.size() / 2);
}
