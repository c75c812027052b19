// A VM or an engine that shuts down in good order cuts no request, and gets no new ones.
#define BOOST_TEST_MODULE DrainCutsNobody
#include <boost/test/unit_test.hpp>

#include "base/TimerSubscription.h"
#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"
#include "support/SteadyLoad.h"

#include <QElapsedTimer>
#include <QJsonArray>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr Milliseconds SendInterval{15};
constexpr int TokensOfEach = 60;
constexpr int BetweenChanges = 60;
/// The balancer notices this late that a daemon is not ready any more.
constexpr Milliseconds BalancerLag{800};
/// "After a few seconds" of the promise.
constexpr Milliseconds LeavingBound{3000};

FleetPlan planOf(int daemons, int engines)
{
    FleetPlan plan;
    plan.daemons = daemons;
    plan.engines = engines;
    plan.engineFlags = {QStringLiteral("--capacity_tokens=65536")};
    plan.daemonSettings = {
        {QStringLiteral("limits"), QJsonObject{{QStringLiteral("drain_listen_ms"), 1500}}}};
    return plan;
}

/// Requests that reached engine @p index: those it ran and those it refused.
int arrivals(Fleet &fleet, int index)
{
    const QJsonObject counts = fleet.runs(fleet.engineEndpoint(index));
    return int(counts[QLatin1String("runs")].toArray().size())
        + counts[QLatin1String("refused")].toInt();
}

bool waitSent(const SteadyLoad &load, int more)
{
    const int wanted = load.sentCount() + more;
    return waitFor([&] { return load.sentCount() >= wanted; });
}

/// Time from now to the last request that reaches engine @p index, seen by asking it again and
/// again until it has been without one for LeavingBound.
Milliseconds lastArrivalAfter(Fleet &fleet, int index)
{
    QElapsedTimer since;
    since.start();
    int known = arrivals(fleet, index);
    qint64 last = 0;
    waitFor([&] {
        const int count = arrivals(fleet, index);
        if (count > known)
            last = since.elapsed();
        known = count;
        return since.elapsed() - last > LeavingBound.count();
    });
    return Milliseconds(last);
}

Fleet &started(Fleet &fleet)
{
    BOOST_REQUIRE(fleet.start());
    return fleet;
}

/// A fleet under load of which an engine is to leave.
struct Leaving {
    Fleet fleet;
    SteadyLoad load;

    explicit Leaving(const FleetPlan &plan)
        : fleet(plan)
        , load(started(fleet), SendInterval, TokensOfEach)
    {
        BOOST_REQUIRE(waitSent(load, BetweenChanges));
        BOOST_REQUIRE(waitFor([this] { return arrivals(fleet, 0) > 0; }));
    }

    void checkAndReport(const char *way, Milliseconds last)
    {
        BOOST_TEST_MESSAGE("learned by " << way << ": last new request after " << last.count()
                                         << " ms");
        BOOST_TEST(last.count() < LeavingBound.count());
        load.stop();
        BOOST_REQUIRE(load.waitAll());
        BOOST_TEST(load.countCut() == 0);
        BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(DaemonsShutDownInTurnWhileTheBalancerLags)
{
    // Each VM is replaced on an ordinary afternoon, and brokers see recaps break off or cannot
    // connect. The balancer goes on sending to a VM for a while after it began to shut down,
    // and streams that began before are still running.
    Fleet fleet(planOf(3, 3));
    BOOST_REQUIRE(fleet.start());
    SteadyLoad load(fleet, SendInterval, TokensOfEach);
    for (int daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
        BOOST_REQUIRE(waitSent(load, BetweenChanges));
        fleet.daemon(daemon).terminate();
        BOOST_REQUIRE(fleet.publishVms({daemon}));
        const auto balancer = fleet.client().timers().after(BalancerLag, [&load, daemon] {
            QList<int> others{0, 1, 2};
            others.removeOne(daemon);
            load.setDaemons(others);
        });
        BOOST_REQUIRE(fleet.daemon(daemon).waitEnded());
        BOOST_TEST(fleet.daemon(daemon).exitCode() == 0);
        BOOST_REQUIRE(fleet.restartDaemon(daemon));
        BOOST_REQUIRE(
            waitFor([&] { return fleet.client().get(fleet.gateway(daemon), "/readyz").is(200); }));
        load.setDaemons({0, 1, 2});
    }
    BOOST_REQUIRE(waitSent(load, BetweenChanges));
    load.stop();
    BOOST_REQUIRE(load.waitAll());
    BOOST_TEST(load.countCut() == 0);
    BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
}

BOOST_AUTO_TEST_CASE(EngineSaysInItsReportThatItLeaves)
{
    // An engine is reclaimed while drafts run on it. New drafts that still went there would be
    // lost with it. Its load report says that it leaves; it goes on taking what it is sent.
    Leaving test(planOf(2, 2));
    BOOST_REQUIRE(
        test.fleet.setFaults(test.fleet.engineEndpoint(0), {{QStringLiteral("leaving"), true}}));
    test.checkAndReport("its own report", lastArrivalAfter(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(EngineSaysInItsAnswerThatItLeaves)
{
    // The same, but the reports lag by a minute: the engine says it only where it refuses.
    FleetPlan plan = planOf(1, 2);
    plan.engineFlags.append(QStringLiteral("--report_lag_ms=60000"));
    Leaving test(plan);
    BOOST_REQUIRE(test.fleet.setFaults(
        test.fleet.engineEndpoint(0),
        {{QStringLiteral("leaving"), true}, {QStringLiteral("refuse"), true}}));
    test.checkAndReport("its answer", lastArrivalAfter(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(PeerSaysThatAnEngineLeaves)
{
    // The same, and only vm0 meets a refusal; vm1, to which the callers go afterwards, would
    // send new drafts to the leaving engine if its peer did not tell.
    FleetPlan plan = planOf(2, 2);
    plan.engineFlags.append(QStringLiteral("--report_lag_ms=60000"));
    // Each daemon deals to both engines, whichever of them gives their room out.
    plan.draftsService = {{QStringLiteral("policy"), QStringLiteral("round_robin")}};
    Leaving test(plan);
    BOOST_REQUIRE(waitFor([&] { return test.fleet.aliveMembers(1) == 2; }));
    test.load.setDaemons({0});
    BOOST_REQUIRE(test.fleet.setFaults(
        test.fleet.engineEndpoint(0),
        {{QStringLiteral("leaving"), true}, {QStringLiteral("refuse"), true}}));
    BOOST_REQUIRE(waitFor([&] {
        return test.fleet.runs(test.fleet.engineEndpoint(0))[QLatin1String("refused")].toInt() > 0;
    }));
    BOOST_REQUIRE(
        test.fleet.setFaults(test.fleet.engineEndpoint(0), {{QStringLiteral("refuse"), false}}));
    test.load.setDaemons({1});
    test.checkAndReport("a peer's news", lastArrivalAfter(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(EnginesLeaveInTurn)
{
    // Every engine of a service is replaced one after the other under load, as for a new
    // version. Each finishes what it has, and is started anew once it is empty.
    Fleet fleet(planOf(2, 3));
    BOOST_REQUIRE(fleet.start());
    SteadyLoad load(fleet, SendInterval, TokensOfEach);
    for (int engine = 0; engine < fleet.engineCount(); ++engine) {
        BOOST_REQUIRE(waitSent(load, BetweenChanges));
        const HttpEndpoint endpoint = fleet.engineEndpoint(engine);
        BOOST_REQUIRE(fleet.setFaults(endpoint, {{QStringLiteral("leaving"), true}}));
        const Milliseconds last = lastArrivalAfter(fleet, engine);
        BOOST_TEST_MESSAGE("engine" << engine << ": last new request after " << last.count()
                                    << " ms");
        BOOST_TEST(last.count() < LeavingBound.count());
        BOOST_REQUIRE(waitFor([&] {
            const QJsonObject report = fleet.client().get(endpoint, "/load").json;
            return report[QLatin1String("running")].toInt(1) == 0
                && report[QLatin1String("waiting")].toInt(1) == 0;
        }));
        fleet.engine(engine).terminate();
        BOOST_REQUIRE(fleet.engine(engine).waitEnded());
        BOOST_REQUIRE(fleet.restartEngine(engine));
        const int known = arrivals(fleet, engine);
        BOOST_REQUIRE(waitFor([&] { return arrivals(fleet, engine) > known; }));
    }
    load.stop();
    BOOST_REQUIRE(load.waitAll());
    BOOST_TEST(load.countCut() == 0);
    BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
}
