// Tests that two daemons of a data centre watch the store and feed its changes to the others.
#define BOOST_TEST_MODULE PlatformFeed
#include <boost/test/unit_test.hpp>

#include "base/StableHash.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <algorithm>
#include <csignal>

using namespace cranberry;
using Door = standin::StoreEmulator::Door;

namespace {

constexpr int DaemonCount = 7;

struct Fixture {
    Fixture()
    {
        site.addRunner("plain-1", "plain");
        site.configure(1);
        for (int i = 0; i < DaemonCount; ++i)
            site.startDaemon();
        BOOST_REQUIRE(test::waitFor([&] {
            initialWatchers = watchers();
            return initialWatchers.size() == 2;
        }));
    }

    QList<int> watchers()
    {
        QList<int> found;
        for (int i = 0; i < DaemonCount; ++i) {
            if (!site.hasEnded(i) && site.metrics(i).contains("cranberry_relay_entries_fed 0"))
                found.append(i);
        }
        return found;
    }

    /// The log lines of the running daemons about the store and their peers, and their metrics.
    QByteArray logs()
    {
        QByteArray text;
        for (int i = 0; i < DaemonCount; ++i) {
            if (site.hasEnded(i))
                continue;
            for (const QByteArray &line : site.log(i).split('\n')) {
                if (line.contains("platform.") || line.contains("member.")
                    || line.contains("peers.") || line.contains("daemon."))
                    text += QByteArray::number(i) + ' ' + line + '\n';
            }
            text += QByteArray::number(i) + ' ' + site.metrics(i).replace('\n', ' ') + '\n';
        }
        return text;
    }

    bool allAnswer(const QByteArray &path, int status)
    {
        return test::waitFor([&] {
            for (int i = 0; i < DaemonCount; ++i) {
                const QByteArray id = "r" + QByteArray::number(++requests);
                if (!site.hasEnded(i) && site.call(i, "GET", path, id)->response.status != status)
                    return false;
            }
            return true;
        });
    }

    test::PlatformSite site;
    /// The two daemons that watch at first. On a busy machine heartbeats may be missed, and then
    /// all daemons watch.
    QList<int> initialWatchers;
    int requests = 0;
};

} // namespace

// Guards against a load on the store that grows with the number of daemons: each of 195 daemons
// watched the configuration, and each version cost 195 calls and as many reads. Two daemons watch;
// the others are notified of a version and fetch it from a daemon that has it.
BOOST_FIXTURE_TEST_CASE(ConfigurationComesFromOtherDaemons, Fixture)
{
    const auto countFedDaemons = [&] {
        int found = 0;
        for (int i = 0; i < DaemonCount; ++i)
            found += site.metrics(i).contains("cranberry_relay_configuration_fed 1") ? 1 : 0;
        return found;
    };
    BOOST_TEST(test::waitFor([&] { return countFedDaemons() == DaemonCount - 2; }));
    const int reads = site.store().reads("op/");
    site.configure(2, true);
    BOOST_TEST(allAnswer("/extra/a", 200));
    // A daemon whose request a busy peer does not answer within 0.9 s may read the store; without
    // peers all five would.
    BOOST_TEST(site.store().reads("op/") - reads < DaemonCount - 2);
}

// Both watchers are killed at the moment when a route is added. The others detect the loss, two of
// them watch, and all serve the route.
BOOST_FIXTURE_TEST_CASE(OthersWatchWhenBothWatchersDie, Fixture)
{
    for (const int daemon : std::as_const(initialWatchers))
        site.signal(daemon, SIGKILL);
    site.configure(2, true);
    BOOST_TEST(allAnswer("/extra/a", 200));
    const bool hasTwoWatchers = test::waitFor([&] { return watchers().size() == 2; });
    BOOST_TEST_INFO(logs().toStdString());
    BOOST_TEST(hasTwoWatchers);
}

// Guards against a gap of one second at a shutdown: stopping watchers fed the others until they
// ended, and the others then had to detect the loss. Stopping watchers hand over at once.
BOOST_FIXTURE_TEST_CASE(StoppingWatchersHandOver, Fixture)
{
    for (const int daemon : std::as_const(initialWatchers))
        site.signal(daemon, SIGTERM);
    BOOST_TEST(test::waitFor([&] {
        const QList<int> current = watchers();
        return current.size() == 2 && !current.contains(initialWatchers.at(0))
            && !current.contains(initialWatchers.at(1));
    }));
}

// Guards against stale daemons when the store refuses just the two watchers: the others went on
// waiting for them while a route was added. The others contact the store themselves, and the two
// learn of the route from them.
BOOST_AUTO_TEST_CASE(TheWatchersAloneAreTurnedAway)
{
    test::PlatformSite site;
    site.addRunner("plain-1", "plain");
    site.configure(1);
    QList<int> daemonsByHash;
    for (int i = 0; i < DaemonCount; ++i)
        daemonsByHash.append(i);
    std::sort(daemonsByHash.begin(), daemonsByHash.end(), [](int a, int b) {
        return stableHash(QStringLiteral("vm%1").arg(a))
            < stableHash(QStringLiteral("vm%1").arg(b));
    });
    const QList<int> watcherDaemons = daemonsByHash.first(2);
    for (int i = 0; i < DaemonCount; ++i)
        site.startDaemon(std::chrono::seconds(30),
                         watcherDaemons.contains(i) ? Door::Second : Door::First);
    const auto isFed = [&](int daemon) {
        return site.metrics(daemon).contains("cranberry_relay_entries_fed 1");
    };
    BOOST_REQUIRE(test::waitFor([&] {
        return std::all_of(daemonsByHash.cbegin(), daemonsByHash.cend(), [&](int daemon) {
            return isFed(daemon) != watcherDaemons.contains(daemon);
        });
    }));
    site.store().refuse(Door::Second, true);
    site.configure(2, true);
    int requests = 0;
    BOOST_TEST(test::waitFor([&] {
        return std::all_of(daemonsByHash.cbegin(), daemonsByHash.cend(), [&](int daemon) {
            const QByteArray id = "t" + QByteArray::number(++requests);
            return site.call(daemon, "GET", "/extra/a", id)->response.status == 200;
        });
    }));
}

// The store stops answering and returns with a new version. Every daemon gets the version and has
// kept its targets meanwhile.
BOOST_FIXTURE_TEST_CASE(SilenceTakesNoTargetsAway, Fixture)
{
    site.store().setSilent(true);
    BOOST_TEST(allAnswer("/extra/a", 503));
    BOOST_TEST(allAnswer("/safe/a", 200));
    site.configure(2, true);
    site.store().setSilent(false);
    BOOST_TEST(allAnswer("/extra/a", 200));
    BOOST_TEST(allAnswer("/safe/a", 200));
}

// Guards against a configuration watch that was opened while the store did not answer and stays
// without events for 28 s after its return: no daemon learned of a route. Where two daemons watch
// for all, the wait of each watch is short enough for a version to be in force within two seconds.
BOOST_FIXTURE_TEST_CASE(DeafWatchOfTheConfigurationIsFound, Fixture)
{
    constexpr int MaxWaitMs = 1000;
    BOOST_TEST(test::waitFor([&] {
        const int wait = site.store().lastWait("op/");
        return wait > 0 && wait <= MaxWaitMs;
    }));
    const int watches = site.store().calls("/v1/kv-watch");
    site.store().setSilent(true);
    BOOST_REQUIRE(test::waitFor([&] { return site.store().calls("/v1/kv-watch") > watches + 6; }));
    site.store().setSilent(false);
    site.configure(2, true);
    BOOST_TEST(allAnswer("/extra/a", 200));
}

// A daemon that starts beside others gets all state from them and reads nothing from the store.
BOOST_FIXTURE_TEST_CASE(NewcomerLearnsFromOthers, Fixture)
{
    const int configurations = site.store().reads("op/");
    const int entries = site.store().reads("servers/");
    const int newcomer = site.startDaemon();
    BOOST_TEST(site.call(newcomer, "GET", "/safe/a", "n1")->response.status == 200);
    BOOST_TEST(site.store().reads("op/") == configurations);
    BOOST_TEST(site.store().reads("servers/") == entries);
}
