// Tests how other daemons see daemon processes that are killed, replaced, paused and drained.
#define BOOST_TEST_MODULE DaemonsComeAndGo
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::Fleet;
using cranberry::test::FleetPlan;

namespace {

constexpr int DaemonCount = 4;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        FleetPlan plan;
        plan.daemons = DaemonCount;
        plan.engines = 1;
        fleet = std::make_unique<Fleet>(plan);
        BOOST_REQUIRE(fleet->start());
        BOOST_REQUIRE(waitForAll("alive"));
    }

    /// The states in which daemon @p viewer sees the VMs, in the order of their names.
    QStringList statesSeenBy(int viewer)
    {
        QStringList states;
        const QJsonArray members = fleet->status(viewer).value(QStringLiteral("members")).toArray();
        for (const auto &member : members)
            states.append(member.toObject().value(QStringLiteral("state")).toString());
        return states;
    }

    bool isQueryable(int index)
    {
        return index != pausedDaemon && fleet->daemon(index).isRunning();
    }

    /// Waits until every running daemon sees VM @p index in @p state and all others alive.
    bool waitFor(int index, const QString &state)
    {
        QStringList expected(DaemonCount, QStringLiteral("alive"));
        expected[index] = state;
        return test::waitFor([&] {
            for (int viewer = 0; viewer < DaemonCount; ++viewer) {
                if (isQueryable(viewer) && statesSeenBy(viewer) != expected)
                    return false;
            }
            return true;
        });
    }

    bool waitForAll(const char *state) { return waitFor(0, QLatin1String(state)); }

    std::unique_ptr<Fleet> fleet;
    /// The index of a daemon that is paused and must not be queried, or -1.
    int pausedDaemon = -1;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KilledDaemonIsDeadAndItsReplacementAlive, Fixture)
{
    // A VM fails and is replaced under its name at another port. If others still used its old
    // address, whatever hashes to it would wait; if they did not learn of the new process, it would
    // serve without its peers.
    fleet->daemon(2).kill();
    BOOST_TEST(waitFor(2, QStringLiteral("dead")));
    BOOST_REQUIRE(fleet->restartDaemon(2));
    BOOST_TEST(waitForAll("alive"));
}

BOOST_FIXTURE_TEST_CASE(PausedDaemonIsDeadAndThenRefutes, Fixture)
{
    // A VM is paused with all its connections open. When it resumes, it has missed every other
    // daemon's heartbeats, and all others consider it dead.
    pausedDaemon = 1;
    fleet->daemon(1).pause();
    BOOST_TEST(waitFor(1, QStringLiteral("dead")));
    fleet->daemon(1).resume();
    pausedDaemon = -1;
    BOOST_TEST(waitForAll("alive"));
    BOOST_TEST(!fleet->log(1).contains("name=member.dead"));
}

BOOST_FIXTURE_TEST_CASE(DrainingDaemonIsLeavingAtOnce, Fixture)
{
    fleet->daemon(3).terminate();
    BOOST_TEST(test::waitFor([&] {
        const QStringList states = statesSeenBy(0);
        return states.size() == DaemonCount
            && (states[3] == QStringLiteral("leaving") || states[3] == QStringLiteral("dead"));
    }));
    BOOST_TEST(test::waitFor([&] { return fleet->log(0).contains("name=member.leaving"); }));
}
