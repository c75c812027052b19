// The spread of changes while the platform or links between daemons are down.
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

    static bool reaches(SpreadFleet &fleet, SpreadDaemon &one, qint64 version)
    {
        return test::waitFor([&] {
            fleet.tellVersions();
            return one.daemon.store.version().value() == version;
        });
    }

    /// What a daemon paused since version 0 leaves when it submits after the trim.
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
    // A VM that replaces another during an outage would refuse every caller. It cannot read
    // the platform; it hears a version by heartbeat, pulls the document and is ready.
    SpreadFleet fleet(3, 1, timers);
    fleet[2].daemon.platform.isDown = true;
    fleet[2].peers.isCut = true; // it is not there yet
    fleet[0].spread.start();
    fleet[1].spread.start();
    BOOST_REQUIRE(reaches(fleet, fleet[0], 0));
    BOOST_REQUIRE(fleet[0].daemon.submitMany(3));
    fleet[2].spread.start();
    BOOST_REQUIRE(test::waitFor([&] { return !fleet[2].spread.isPlatformReachable(); }));
    BOOST_TEST(fleet[2].daemon.store.current() == nullptr);
    fleet[2].peers.isCut = false;
    BOOST_REQUIRE(reaches(fleet, fleet[2], 3));
    BOOST_TEST(fleet[2].daemon.store.current() != nullptr);
    BOOST_TEST(!fleet[2].spread.isPlatformReachable());
    fleet[2].daemon.platform.isDown = false;
    BOOST_TEST(test::waitFor([&] { return fleet[2].spread.isPlatformReachable(); }));
}

BOOST_FIXTURE_TEST_CASE(DaemonWhosePeersDoNotAnswerFallsBackOnThePlatform, Fixture)
{
    // A daemon would keep an old version while it hears of newer ones. Its pulls get no answer,
    // as over a link that stalls; after a while it reads the platform itself.
    SpreadFleet fleet(5, 1, timers);
    BOOST_REQUIRE(fleet.start());
    int behind = 0;
    while (fleet[behind].spread.isWatching())
        ++behind;
    SpreadDaemon &cut = fleet[behind];
    cut.peers.isCut = true;
    SpreadDaemon &other = fleet[behind == 0 ? 1 : 0];
    BOOST_REQUIRE(other.daemon.submitMany(2));
    cut.spread.onPeerVersion(other.members.selfId, ConfigurationVersion(2));
    BOOST_REQUIRE(test::waitFor([&] { return cut.daemon.store.version().value() == 2; }));
}

BOOST_FIXTURE_TEST_CASE(WatchersComeBackAfterAnOutageAndMissNothing, Fixture)
{
    // After an outage daemons would follow no change any more. All watches fail and are taken
    // up again, after the revision that was last seen; no peer helps.
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
    // A daemon that was paused through many changes would wait for ever for one that is gone,
    // or follow the key that another daemon, paused as long, created in its place. Its watch
    // shows that key and the base record, which covers it; it reads the snapshot.
    SpreadFleet fleet(2, 1, timers);
    BOOST_REQUIRE(fleet.start());
    fleet[1].daemon.platform.isDown = true;
    fleet[1].daemon.platform.failWatches();
    fleet[1].peers.isCut = true;
    // The second snapshot trims the changes up to the first, in their order.
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
