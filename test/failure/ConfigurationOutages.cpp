// Tests how configuration changes spread while the platform or links between daemons are down.
#define BOOST_TEST_MODULE ConfigurationOutages
#include <boost/test/unit_test.hpp>

#include "configuration/SnapshotWriter.h"
#include "support/EventLoop.h"
#include "support/SpreadFleet.h"

using namespace cranberry;
using cranberry::test::SpreadDaemon;
using cranberry::test::SpreadFleet;

namespace {

struct Fixture {
    Fixture() { test::ensureApplication(); }

    static bool awaitVersion(SpreadFleet &fleet, SpreadDaemon &spreadDaemon, qint64 version)
    {
        return test::waitFor([&] {
            fleet.tellVersions();
            return spreadDaemon.daemon.store.version().value() == version;
        });
    }

    /// Writes the change that a daemon paused since version 0 leaves when it submits after the
    /// trim.
    static void putOrphan(SpreadFleet &fleet)
    {
        const ConfigurationVersion first(1);
        const ConfigurationChange orphan{first, ChangeId("orphan"), test::smallDocument(999)};
        fleet.table->entries.insert(
            changeKey(first),
            {changeKey(first), encodeChange(orphan), Revision(++fleet.table->lastRevision)});
    }

    QtTimerService timers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(DaemonStartedInAnOutageTakesTheVersionOfItsPeers, Fixture)
{
    // Guards against a replacement VM that refuses every caller during an outage. It cannot read
    // the platform; it learns of a version from a heartbeat, fetches the document and becomes
    // ready.
    SpreadFleet fleet(3, 1, timers);
    fleet[2].daemon.platform.isDown = true;
    fleet[2].peers.isCut = true; // has not joined yet
    fleet[0].spread.start();
    fleet[1].spread.start();
    BOOST_REQUIRE(awaitVersion(fleet, fleet[0], 0));
    BOOST_REQUIRE(fleet[0].daemon.submitMany(3));
    fleet[2].spread.start();
    BOOST_REQUIRE(test::waitFor([&] { return !fleet[2].spread.isPlatformReachable(); }));
    BOOST_TEST(fleet[2].daemon.store.current() == nullptr);
    fleet[2].peers.isCut = false;
    BOOST_REQUIRE(awaitVersion(fleet, fleet[2], 3));
    BOOST_TEST(fleet[2].daemon.store.current() != nullptr);
    BOOST_TEST(!fleet[2].spread.isPlatformReachable());
    fleet[2].daemon.platform.isDown = false;
    BOOST_TEST(test::waitFor([&] { return fleet[2].spread.isPlatformReachable(); }));
}

BOOST_FIXTURE_TEST_CASE(DaemonWhosePeersDoNotAnswerFallsBackOnThePlatform, Fixture)
{
    // Guards against a daemon that keeps an old version although it is notified of newer ones. Its
    // requests to peers get no answer, as over a link that stalls; after a timeout it reads the
    // platform itself.
    SpreadFleet fleet(5, 1, timers);
    BOOST_REQUIRE(fleet.start());
    int isolatedIndex = 0;
    while (fleet[isolatedIndex].spread.isWatching())
        ++isolatedIndex;
    SpreadDaemon &isolated = fleet[isolatedIndex];
    isolated.peers.isCut = true;
    SpreadDaemon &other = fleet[isolatedIndex == 0 ? 1 : 0];
    BOOST_REQUIRE(other.daemon.submitMany(2));
    isolated.spread.onPeerVersion(other.members.selfId, ConfigurationVersion(2));
    BOOST_REQUIRE(test::waitFor([&] { return isolated.daemon.store.version().value() == 2; }));
}

BOOST_FIXTURE_TEST_CASE(WatchersComeBackAfterAnOutageAndMissNothing, Fixture)
{
    // Guards against watches that are not reopened after an outage. All watches fail and are
    // reopened after the last revision seen; no peer helps.
    SpreadFleet fleet(4, 2, timers);
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet[0].daemon.submitMany(1));
    BOOST_REQUIRE(test::waitFor([&] { return fleet.agree(); }));
    for (int i = 1; i < fleet.size(); ++i) {
        fleet[i].daemon.platform.isDown = true;
        fleet[i].daemon.platform.failWatches();
        fleet[i].peers.isCut = true;
    }
    BOOST_REQUIRE(test::waitFor([&] { return !fleet[1].spread.isPlatformReachable(); }));
    BOOST_REQUIRE(fleet[0].daemon.submitMany(3));
    for (int i = 1; i < fleet.size(); ++i)
        fleet[i].daemon.platform.isDown = false;
    BOOST_REQUIRE(test::waitFor([&] { return fleet.agree(); }));
    BOOST_TEST(fleet[1].daemon.store.version().value() == 4);
    BOOST_TEST(fleet[1].spread.isPlatformReachable());
}

BOOST_FIXTURE_TEST_CASE(WatcherFarBehindTheTrimCatchesUpFromTheSnapshot, Fixture)
{
    // Guards against a daemon that was paused through many changes and then waits for ever for a
    // trimmed one, or applies the key that another daemon, paused as long, created in its place.
    // Its watch reports that key and the base record, which covers it; it reads the snapshot.
    SpreadFleet fleet(2, 1, timers);
    BOOST_REQUIRE(fleet.start());
    fleet[1].daemon.platform.isDown = true;
    fleet[1].daemon.platform.failWatches();
    fleet[1].peers.isCut = true;
    // The second snapshot trims the changes up to the first one, in ascending order.
    BOOST_REQUIRE(fleet[0].daemon.submitMany(int(2 * SnapshotInterval)));
    BOOST_REQUIRE(test::waitFor([&] {
        return !fleet.table->entries.contains(changeKey(ConfigurationVersion(SnapshotInterval)));
    }));
    BOOST_TEST(fleet.table->entries.contains(BaseKey));
    putOrphan(fleet);
    fleet[1].daemon.platform.isDown = false;
    BOOST_REQUIRE(test::waitFor([&] { return fleet.agree(); }));
    BOOST_TEST(!fleet[1].daemon.inForce.contains(1));
    const QList<qint64> &versions = fleet[1].daemon.inForce;
    BOOST_TEST(std::is_sorted(versions.begin(), versions.end()));
}
