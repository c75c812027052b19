// When a daemon that others feed calls the store itself, without a network.
#define BOOST_TEST_MODULE StoreFeed
#include <boost/test/unit_test.hpp>

#include "http/HttpClient.h"
#include "relay/DataCentreHeads.h"
#include "relay/FeedMessage.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerState.h"
#include "relay/RelayCounters.h"
#include "relay/StoreFeed.h"
#include "relay/StoreMirror.h"
#include "relay/StoreProtocol.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <algorithm>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

constexpr Milliseconds Bound{2000};
constexpr Milliseconds Heartbeat{300};
constexpr int Others = 6;
const HttpEndpoint Nowhere{QStringLiteral("127.0.0.1"), 1};
const QString Operator = QStringLiteral("operator/");
const QString Targets = QStringLiteral("targets/");
const DataCentreId Hall(QStringLiteral("hall"));

/// One call to the store; nobody answers it.
struct StoreCall {
    QString prefix;
    /// None of a read.
    Milliseconds wait{0};
};

StoreProtocol recordedIn(QList<StoreCall> &calls)
{
    StoreProtocol protocol;
    protocol.range = [&calls](const QString &prefix, const QString &) {
        calls.append({prefix, 0ms});
        return HttpRequest();
    };
    protocol.watch = [&calls](const QString &prefix, Revision, Milliseconds wait) {
        calls.append({prefix, wait});
        return HttpRequest();
    };
    protocol.readItems = [](const HttpResponse &) { return StoreAnswer(); };
    return protocol;
}

Peer peerOf(int number)
{
    Peer peer;
    peer.vm = VmId(QStringLiteral("vm%1").arg(number));
    peer.dataCentre = Hall;
    peer.endpoint = Nowhere;
    return peer;
}

/// The daemon that comes last in the order of its group, so that others watch for it.
int lastInOrder()
{
    test::ManualTimers timers;
    HttpClient client(timers);
    const StoreProtocol protocol;
    RelayCounters counters;
    for (int self = 0; self <= Others; ++self) {
        const PeerDirectory peers(timers, client, Nowhere, protocol, counters, peerOf(self));
        int before = 0;
        for (int other = 0; other <= Others; ++other)
            before += other != self && peers.precedesSelf(peerOf(other)) ? 1 : 0;
        if (before == Others)
            return self;
    }
    return Others;
}

StalenessView unknownAge()
{
    return {};
}

/// A daemon that has read everything and is fed by two others.
struct FedDaemon {
    FedDaemon()
    {
        test::ensureApplication();
        configuration.setKeysExpire(false);
        for (StoreMirror *mirror : {&configuration, &entries}) {
            mirror->setCallbacks({[](const StoreItem &) {}, [](const QString &) {}});
            mirror->start();
            mirror->mergePeerCopy({}, {}, Revision(5));
            mirror->confirm(timers.now(), StoreSource::Read);
        }
        beat(3 * Heartbeat, FeedRole::Watcher, 0ms);
        BOOST_REQUIRE(entries.isFed());
        BOOST_REQUIRE(configuration.isFed());
        calls.clear();
    }

    /// All others are heard, and the first two in the order say @p role.
    void beatOnce(FeedRole role, Milliseconds targetsAge)
    {
        FeedMessage heartbeat;
        heartbeat.role = role;
        heartbeat.base = heartbeat.upTo = heartbeat.configurationRevision = Revision(5);
        heartbeat.configurationAge = 0ms;
        heartbeat.targetsAge = targetsAge;
        int heads = 0;
        for (int number = 0; number <= Others; ++number) {
            const Peer peer = peerOf(number);
            if (peer.vm == peers.self().vm)
                continue;
            peers.recordMessage(peer);
            if (heads++ < 2)
                datagrams.deliver(peer, DatagramKind::StoreChange, encodeFeedMessage(heartbeat));
        }
    }

    void beat(Milliseconds duration, FeedRole role, Milliseconds targetsAge = UnknownAge)
    {
        for (Milliseconds passed{0}; passed < duration; passed += Heartbeat) {
            beatOnce(role, targetsAge);
            timers.advance(Heartbeat);
        }
    }

    QList<StoreCall> callsTo(const QString &prefix) const
    {
        QList<StoreCall> found = calls;
        found.removeIf([&](const StoreCall &call) { return call.prefix != prefix; });
        return found;
    }

    QList<StoreCall> calls;
    test::ManualTimers timers;
    HttpClient client{timers};
    StoreProtocol protocol = recordedIn(calls);
    RelayCounters counters;
    PeerDirectory peers{timers, client, Nowhere, protocol, counters, peerOf(lastInOrder())};
    PeerDatagrams datagrams{peers};
    DataCentreHeads heads{timers, peers, datagrams};
    StoreMirror configuration{timers, client, Nowhere, protocol, counters, Operator};
    StoreMirror entries{timers, client, Nowhere, protocol, counters, Targets};
    PeerState state{
        timers, client, peers, configuration, entries, counters, {unknownAge, unknownAge}};
    StoreFeed feed{{timers, peers, heads, datagrams, state, entries, configuration},
                   false,
                   {Bound, Bound},
                   [] { return 0; }};
};

} // namespace

// Guards against a revoked key that works on because the configuration waits for a long poll.
BOOST_AUTO_TEST_CASE(FirstCallAfterTheWatchersAreGoneDoesNotWaitForChanges)
{
    FedDaemon daemon;
    daemon.beat(4 * Heartbeat, FeedRole::Disconnected);
    const QList<StoreCall> calls = daemon.callsTo(Targets);
    BOOST_REQUIRE(!calls.isEmpty());
    BOOST_TEST(calls.first().wait.count() <= 100);
}

// Guards against requests to a target that left while the daemons that watch for it were deaf.
BOOST_AUTO_TEST_CASE(TargetsThatNobodyConfirmsAreReadWithinTheBound)
{
    FedDaemon daemon;
    daemon.beat(Bound, FeedRole::Watcher);
    BOOST_TEST(!daemon.callsTo(Targets).isEmpty());
}

// Guards against calls to the store by daemons whose watchers are well.
BOOST_AUTO_TEST_CASE(ConfirmedCopiesAreNotRead)
{
    FedDaemon daemon;
    daemon.beat(5 * Bound, FeedRole::Watcher, Bound / 4);
    BOOST_TEST(daemon.calls.isEmpty());
}
