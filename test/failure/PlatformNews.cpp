// Tests that daemons notify each other of changes of runners.
#define BOOST_TEST_MODULE PlatformNews
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>

using namespace cranberry;
using Door = standin::StoreEmulator::Door;
using Runner = standin::RunnerEmulator;

// Guards against a stream that ends with its draining runner: the store refuses one daemon at the
// moment when the runner announces that it drains, so that the daemon would learn of it only when
// its watch is due. The other daemon notifies it.
BOOST_AUTO_TEST_CASE(LeavingRunnerIsHeardOfFromAPeer)
{
    test::PlatformSite site;
    Runner &runner = site.addRunner("plain-1", "plain");
    site.configure(1);
    const int first = site.startDaemon(std::chrono::seconds(30), Door::First);
    const int second = site.startDaemon(std::chrono::seconds(30), Door::Second);
    const auto awaitLogLine = [&](int daemon, const QByteArray &line) {
        return test::waitFor([&] { return site.log(daemon).contains(line); });
    };
    for (const int daemon : {first, second})
        BOOST_REQUIRE(awaitLogLine(daemon, "name=member.joined"));
    site.store().refuse(Door::Second, true);
    BOOST_REQUIRE(awaitLogLine(second, "name=platform.down"));
    site.announce(runner, "plain", "draining");
    BOOST_TEST(awaitLogLine(second, "reason=peer"));
    BOOST_TEST(awaitLogLine(first, "reason=entry"));
}

// Guards against a load on the store that grows with the number of daemons: of six daemons in three
// data centres each watched the entries of the runners, and each change cost six calls. Two daemons
// watch for all; when both are killed, the others detect it and watch themselves.
BOOST_AUTO_TEST_CASE(FewDaemonsOfEachDataCentreShareWatches)
{
    constexpr int DaemonCount = 6;
    test::PlatformSite site;
    site.addRunner("plain-1", "plain");
    site.configure(1);
    for (int i = 0; i < DaemonCount; ++i)
        site.startDaemon(std::chrono::seconds(30), Door::First,
                         QStringLiteral("hall%1").arg(i / 2));
    const auto watchers = [&] {
        QList<int> found;
        for (int i = 0; i < DaemonCount; ++i) {
            if (site.metrics(i).contains("cranberry_relay_entries_fed 0"))
                found.append(i);
        }
        return found;
    };
    BOOST_REQUIRE(test::waitFor([&] { return watchers().size() == 2; }));
    const QList<int> killed = watchers();
    site.addRunner("plain-2", "plain");
    const auto awaitLogLineOfAll = [&](const QByteArray &line) {
        return test::waitFor([&] {
            for (int i = 0; i < DaemonCount; ++i) {
                if (!site.hasEnded(i) && !site.log(i).contains(line))
                    return false;
            }
            return true;
        });
    };
    BOOST_TEST(awaitLogLineOfAll("name=target.joined target=plain-2"));
    for (const int daemon : killed)
        site.signal(daemon, SIGKILL);
    BOOST_REQUIRE(
        test::waitFor([&] { return site.hasEnded(killed.at(0)) && site.hasEnded(killed.at(1)); }));
    site.addRunner("plain-3", "plain");
    BOOST_TEST(awaitLogLineOfAll("name=target.joined target=plain-3"));
}
