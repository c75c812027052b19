// Real daemons that are killed, replaced, paused and drained, as the others see them.
#define BOOST_TEST_MODULE DaemonsComeAndGo
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::Fleet;
using cranberry::test::FleetPlan;

namespace {

constexpr int Count = 4;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        FleetPlan plan;
        plan.daemons = Count;
        plan.engines = 1;
        fleet = std::make_unique<Fleet>(plan);
        BOOST_REQUIRE(fleet->start());
        BOOST_REQUIRE(waitForAll("alive"));
    }

    /// How daemon @p viewer sees each VM, in the order of their names.
    QStringList seenBy(int viewer)
    {
        QStringList states;
        const QJsonArray members = fleet->status(viewer).value(QStringLiteral("members")).toArray();
        for (const auto &member : members)
            states.append(member.toObject().value(QStringLiteral("state")).toString());
        return states;
    }

    bool running(int index) { return index != gone && fleet->daemon(index).isRunning(); }

    /// Waits until every running daemon sees VM @p index, and all others alive.
    bool waitFor(int index, const QString &state)
    {
        QStringList expected(Count, QStringLiteral("alive"));
        expected[index] = state;
        return test::waitFor([&] {
            for (int viewer = 0; viewer < Count; ++viewer) {
                if (running(viewer) && seenBy(viewer) != expected)
                    return false;
            }
            return true;
        });
    }

    bool waitForAll(const char *state) { return waitFor(0, QLatin1String(state)); }

    std::unique_ptr<Fleet> fleet;
    /// A daemon that is paused, so not to be asked.
    int gone = -1;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KilledDaemonIsDeadAndItsReplacementAlive, Fixture)
{
    // A VM fails and is replaced under its name at another port. Were its old self believed,
    // whatever hashes to it would wait; were its new self not, it would serve unheard.
    fleet->daemon(2).kill();
    BOOST_TEST(waitFor(2, QStringLiteral("dead")));
    BOOST_REQUIRE(fleet->restartDaemon(2));
    BOOST_TEST(waitForAll("alive"));
}

BOOST_FIXTURE_TEST_CASE(PausedDaemonIsDeadAndThenRefutes, Fixture)
{
    // A VM stands still with all its connections open. Awake again, it has missed everyone's
    // heartbeats, and everyone has it for dead.
    gone = 1;
    fleet->daemon(1).pause();
    BOOST_TEST(waitFor(1, QStringLiteral("dead")));
    fleet->daemon(1).resume();
    gone = -1;
    BOOST_TEST(waitForAll("alive"));
    BOOST_TEST(!fleet->log(1).contains("name=member.dead"));
}

BOOST_FIXTURE_TEST_CASE(DrainingDaemonIsLeavingAtOnce, Fixture)
{
    fleet->daemon(3).terminate();
    BOOST_TEST(test::waitFor([&] {
        const QStringList states = seenBy(0);
        return states.size() == Count
            && (states[3] == QStringLiteral("leaving") || states[3] == QStringLiteral("dead"));
    }));
    BOOST_TEST(test::waitFor([&] { return fleet->log(0).contains("name=member.leaving"); }));
}
