// Tests that a VM or an engine that shuts down gracefully cuts no request and gets no new ones.
#define BOOST_TEST_MODULE DrainCutsNobody
#include <boost/test/unit_test.hpp>

#include "base/TimerSubscription.h"
#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"
#include "support/SteadyLoad.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QTcpSocket>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr Milliseconds SendInterval{15};
constexpr int TokensPerAnswer = 60;
constexpr int RequestsBetweenChanges = 60;
/// Delay until the balancer notices that a daemon is not ready.
constexpr Milliseconds BalancerLag{800};
/// Maximum time until a draining engine gets no new request; the guarantee says "after a few
/// seconds".
constexpr Milliseconds MaxDrainDelay{3000};

FleetPlan makePlan(int daemons, int engines)
{
    FleetPlan plan;
    plan.daemons = daemons;
    plan.engines = engines;
    plan.engineFlags = {QStringLiteral("--capacity_tokens=65536")};
    plan.daemonSettings = {
        {QStringLiteral("limits"), QJsonObject{{QStringLiteral("drain_listen_ms"), 1500}}}};
    return plan;
}

/// Returns the number of requests that reached engine @p index: those it ran and those it refused.
int arrivals(Fleet &fleet, int index)
{
    const QJsonObject counts = fleet.runs(fleet.engineEndpoint(index));
    return int(counts[QLatin1String("runs")].toArray().size())
        + counts[QLatin1String("refused")].toInt();
}

bool awaitSent(const SteadyLoad &load, int more)
{
    const int expectedCount = load.sentCount() + more;
    return waitFor([&] { return load.sentCount() >= expectedCount; });
}

/// Returns the time from now to the last request that reaches engine @p index. Polls the engine
/// until it has been without a request for MaxDrainDelay.
Milliseconds measureLastArrival(Fleet &fleet, int index)
{
    QElapsedTimer timer;
    timer.start();
    int knownArrivals = arrivals(fleet, index);
    qint64 last = 0;
    waitFor([&] {
        const int count = arrivals(fleet, index);
        if (count > knownArrivals)
            last = timer.elapsed();
        knownArrivals = count;
        return timer.elapsed() - last > MaxDrainDelay.count();
    });
    return Milliseconds(last);
}

Fleet &startFleet(Fleet &fleet)
{
    BOOST_REQUIRE(fleet.start());
    return fleet;
}

/// A fleet under load whose engine 0 is to drain.
struct DrainFixture {
    Fleet fleet;
    SteadyLoad load;

    explicit DrainFixture(const FleetPlan &plan)
        : fleet(plan)
        , load(startFleet(fleet), SendInterval, TokensPerAnswer)
    {
        BOOST_REQUIRE(awaitSent(load, RequestsBetweenChanges));
        BOOST_REQUIRE(waitFor([this] { return arrivals(fleet, 0) > 0; }));
    }

    void checkAndReport(const char *way, Milliseconds last)
    {
        BOOST_TEST_MESSAGE("learned by " << way << ": last new request after " << last.count()
                                         << " ms");
        BOOST_TEST(last.count() < MaxDrainDelay.count());
        load.stop();
        BOOST_REQUIRE(load.waitAll());
        BOOST_TEST(load.countCut() == 0);
        BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(DaemonsShutDownInTurnWhileTheBalancerLags)
{
    // Guards against answers that break off and connections that fail while VMs are replaced one
    // after the other. The balancer still sends to a VM for a while after its shutdown began, and
    // streams that began before are still running.
    Fleet fleet(makePlan(3, 3));
    BOOST_REQUIRE(fleet.start());
    SteadyLoad load(fleet, SendInterval, TokensPerAnswer);
    for (int daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
        BOOST_REQUIRE(awaitSent(load, RequestsBetweenChanges));
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
    BOOST_REQUIRE(awaitSent(load, RequestsBetweenChanges));
    load.stop();
    BOOST_REQUIRE(load.waitAll());
    BOOST_TEST(load.countCut() == 0);
    BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
}

BOOST_AUTO_TEST_CASE(RequestInPartsKeepsADaemonThatShutsDown)
{
    // Guards against a process that ends while a part of a request has arrived.
    Fleet fleet(makePlan(1, 1));
    BOOST_REQUIRE(fleet.start());
    QTcpSocket caller;
    const HttpEndpoint gateway = fleet.gateway(0);
    caller.connectToHost(gateway.address, gateway.port);
    caller.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n{ ");
    BOOST_REQUIRE(waitFor([&] { return caller.bytesToWrite() == 0 && caller.isValid(); }));
    fleet.daemon(0).terminate();
    QElapsedTimer timer;
    timer.start();
    // It listens for 1.5 s after the signal.
    BOOST_REQUIRE(waitFor([&] { return timer.hasExpired(2000); }));
    caller.write(" }");
    QByteArray answer;
    BOOST_TEST(waitFor([&] {
        answer += caller.readAll();
        return answer.contains("\r\n\r\n") || caller.state() != QAbstractSocket::ConnectedState;
    }));
    BOOST_TEST(answer.startsWith("HTTP/1.1 "));
    BOOST_REQUIRE(fleet.daemon(0).waitEnded());
    BOOST_TEST(fleet.daemon(0).exitCode() == 0);
}

BOOST_AUTO_TEST_CASE(EngineSaysInItsReportThatItLeaves)
{
    // Guards against new requests to an engine that is reclaimed, which would be lost with it. Its
    // load report says that it drains; it still accepts what it is sent.
    DrainFixture test(makePlan(2, 2));
    BOOST_REQUIRE(
        test.fleet.setFaults(test.fleet.engineEndpoint(0), {{QStringLiteral("leaving"), true}}));
    test.checkAndReport("its own report", measureLastArrival(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(EngineSaysInItsAnswerThatItLeaves)
{
    // As above, but the load reports lag by a minute: the engine says that it drains only where it
    // refuses a request.
    FleetPlan plan = makePlan(1, 2);
    plan.engineFlags.append(QStringLiteral("--report_lag_ms=60000"));
    DrainFixture test(plan);
    BOOST_REQUIRE(test.fleet.setFaults(
        test.fleet.engineEndpoint(0),
        {{QStringLiteral("leaving"), true}, {QStringLiteral("refuse"), true}}));
    test.checkAndReport("its answer", measureLastArrival(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(PeerSaysThatAnEngineLeaves)
{
    // As above, and only vm0 gets a refusal; vm1, to which the callers send afterwards, would send
    // new requests to the draining engine if its peer did not notify it.
    FleetPlan plan = makePlan(2, 2);
    plan.engineFlags.append(QStringLiteral("--report_lag_ms=60000"));
    // Each daemon sends to both engines, whichever of them grants its capacity.
    plan.draftsService = {{QStringLiteral("policy"), QStringLiteral("round_robin")}};
    DrainFixture test(plan);
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
    test.checkAndReport("a peer's news", measureLastArrival(test.fleet, 0));
}

BOOST_AUTO_TEST_CASE(EnginesLeaveInTurn)
{
    // Every engine of a service is replaced one after the other under load, as for a new version.
    // Each finishes its requests and is restarted once it is empty.
    Fleet fleet(makePlan(2, 3));
    BOOST_REQUIRE(fleet.start());
    SteadyLoad load(fleet, SendInterval, TokensPerAnswer);
    for (int engine = 0; engine < fleet.engineCount(); ++engine) {
        BOOST_REQUIRE(awaitSent(load, RequestsBetweenChanges));
        const HttpEndpoint endpoint = fleet.engineEndpoint(engine);
        BOOST_REQUIRE(fleet.setFaults(endpoint, {{QStringLiteral("leaving"), true}}));
        const Milliseconds last = measureLastArrival(fleet, engine);
        BOOST_TEST_MESSAGE("engine" << engine << ": last new request after " << last.count()
                                    << " ms");
        BOOST_TEST(last.count() < MaxDrainDelay.count());
        BOOST_REQUIRE(waitFor([&] {
            const QJsonObject report = fleet.client().get(endpoint, "/load").json;
            return report[QLatin1String("running")].toInt(1) == 0
                && report[QLatin1String("waiting")].toInt(1) == 0;
        }));
        fleet.engine(engine).terminate();
        BOOST_REQUIRE(fleet.engine(engine).waitEnded());
        BOOST_REQUIRE(fleet.restartEngine(engine));
        const int knownArrivals = arrivals(fleet, engine);
        BOOST_REQUIRE(waitFor([&] { return arrivals(fleet, engine) > knownArrivals; }));
    }
    load.stop();
    BOOST_REQUIRE(load.waitAll());
    BOOST_TEST(load.countCut() == 0);
    BOOST_TEST_MESSAGE(load.sentCount() << " requests, " << load.countCut() << " cut");
}
