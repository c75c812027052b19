// What daemons tell each other of runners at once.
#define BOOST_TEST_MODULE PlatformNews
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>

using namespace cranberry;
using Door = standin::StoreEmulator::Door;
using Runner = standin::RunnerEmulator;

// The store turned one daemon away in the moment in which a runner said that it leaves. The daemon
// would have noticed when its watch was due, and its stream would have ended with the runner; the
// other daemon tells it.
BOOST_AUTO_TEST_CASE(LeavingRunnerIsHeardOfFromAPeer)
{
    test::PlatformSite site;
    Runner &runner = site.addRunner("plain-1", "plain");
    site.configure(1);
    const int first = site.startDaemon(std::chrono::seconds(30), Door::First);
    const int second = site.startDaemon(std::chrono::seconds(30), Door::Second);
    const auto logs = [&](int daemon, const QByteArray &line) {
        return test::waitFor([&] { return site.log(daemon).contains(line); });
    };
    for (const int daemon : {first, second})
        BOOST_REQUIRE(logs(daemon, "name=member.joined"));
    site.store().refuse(Door::Second, true);
    BOOST_REQUIRE(logs(second, "name=platform.down"));
    site.announce(runner, "plain", "draining");
    BOOST_TEST(logs(second, "reason=peer"));
    BOOST_TEST(logs(first, "reason=entry"));
}

// Six daemons stood in three data centres, and each watched the runners' entries: each change cost
// six calls. Two watch for all; when both are killed the others find out and watch themselves.
BOOST_AUTO_TEST_CASE(FewDaemonsOfEachDataCentreShareWatches)
{
    constexpr int Daemons = 6;
    test::PlatformSite site;
    site.addRunner("plain-1", "plain");
    site.configure(1);
    for (int i = 0; i < Daemons; ++i)
        site.startDaemon(std::chrono::seconds(30), Door::First,
                         QStringLiteral("hall%1").arg(i / 2));
    const auto watchers = [&] {
        QList<int> found;
        for (int i = 0; i < Daemons; ++i) {
            if (site.metrics(i).contains("cranberry_relay_entries_fed 0"))
                found.append(i);
        }
        return found;
    };
    BOOST_REQUIRE(test::waitFor([&] { return watchers().size() == 2; }));
    const QList<int> killed = watchers();
    site.addRunner("plain-2", "plain");
    const auto allLog = [&](const QByteArray &line) {
        return test::waitFor([&] {
            for (int i = 0; i < Daemons; ++i) {
                if (!site.hasEnded(i) && !site.log(i).contains(line))
                    return false;
            }
            return true;
        });
    };
    BOOST_TEST(allLog("name=target.joined target=plain-2"));
    for (const int daemon : killed)
        site.signal(daemon, SIGKILL);
    BOOST_REQUIRE(
        test::waitFor([&] { return site.hasEnded(killed.at(0)) && site.hasEnded(killed.at(1)); }));
    site.addRunner("plain-3", "plain");
    BOOST_TEST(allLog("name=target.joined target=plain-3"));
}
