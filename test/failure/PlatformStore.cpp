// Tests a store that cuts watches, loses its history, stops answering or refuses daemons.
#define BOOST_TEST_MODULE PlatformStore
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Door = standin::StoreEmulator::Door;

namespace {

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
    }

    int extraStatus(const QByteArray &id)
    {
        return site.call(daemon, "GET", "/extra/a", id)->response.status;
    }

    test::PlatformSite site;
    standin::RunnerEmulator &plain = site.addRunner("plain-1", "plain");
    int daemon = -1;
};

} // namespace

// Guards against a missed change: a revoked key still worked 5 s later because the store cut its
// watches after a change that they had not reported, and the reopened watch did not report it
// either.
BOOST_FIXTURE_TEST_CASE(ChangeBehindACutWatchIsRead, Fixture)
{
    // Both watches are open: that of the configuration and that of the targets.
    BOOST_REQUIRE(test::waitFor([&] { return site.store().calls("/v1/kv-watch") >= 2; }));
    site.store().cutWatches(true);
    site.configure(2, true);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r1") == 200; }));
}

// The store loses its history; the daemon reads everything again.
BOOST_FIXTURE_TEST_CASE(ForgottenHistoryIsReadAnew, Fixture)
{
    site.configure(2);
    site.store().compact();
    site.store().cutWatches(false);
    site.configure(3, true);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r1") == 200; }));
}

// While the store is unavailable, a route unknown to the daemon may exist in a newer version: the
// client is told to retry, not that there is no such route. Known routes are served.
BOOST_FIXTURE_TEST_CASE(UnknownRouteIsNoVerdictWithoutTheStore, Fixture)
{
    BOOST_TEST(extraStatus("r1") == 404);
    site.store().refuse(Door::First, true);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r2") == 503; }));
    BOOST_TEST(site.call(daemon, "GET", "/safe/a", "r3")->response.status == 200);
    site.store().refuse(Door::First, false);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r4") == 404; }));
}

// Guards against stale targets: runners left while the store neither answered nor closed its
// connections, and the pending watch, which waits for up to 28 s, made the daemon take its state
// for current.
BOOST_FIXTURE_TEST_CASE(SilentStoreIsFound, Fixture)
{
    BOOST_REQUIRE(test::waitFor([&] { return site.store().calls("/v1/kv-watch") >= 2; }));
    site.store().setSilent(true);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r1") == 503; }));
    BOOST_TEST(site.call(daemon, "GET", "/safe/a", "r2")->response.status == 200);
    site.store().setSilent(false);
    BOOST_TEST(test::waitFor([&] { return extraStatus("r3") == 404; }));
}

// A daemon that starts while the store is down reports that it is not ready, and serves once the
// store is back.
BOOST_AUTO_TEST_CASE(StartsWithTheStoreDown)
{
    test::PlatformSite site;
    site.addRunner("plain-1", "plain");
    site.store().refuse(Door::First, true);
    site.configure(1);
    BOOST_CHECK_THROW(site.startDaemon(std::chrono::seconds(2)), std::runtime_error);
    site.store().refuse(Door::First, false);
    BOOST_TEST(test::waitFor([&] { return site.isReady(0); }));
    BOOST_TEST(site.call(0, "GET", "/safe/a", "r1")->response.status == 200);
}

// The store refuses one daemon and serves the other. Both serve a route added meanwhile, as the
// refused daemon fetches it from the other.
BOOST_FIXTURE_TEST_CASE(DaemonTurnedAwayAsksAnother, Fixture)
{
    const int otherDaemon = site.startDaemon(std::chrono::seconds(30), Door::Second);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=member.joined"); }));
    site.store().refuse(Door::First, true);
    site.configure(2, true);
    BOOST_TEST(test::waitFor([&] {
        return site.call(otherDaemon, "GET", "/extra/a", "r1")->response.status == 200
            && extraStatus("r2") == 200;
    }));
}
