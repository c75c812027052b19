// Tests the sorts of requests whose keys depend on the time, with a clock that advances while they
// run.
#define BOOST_TEST_MODULE SortsWhileTimePasses
#include <boost/test/unit_test.hpp>

#include "support/RunFixture.h"

#include <QTcpServer>

#include <random>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

using Nanoseconds = std::chrono::nanoseconds;
using Fixture = test::RunFixture;

/// A new target is used after this time at the latest.
constexpr Milliseconds MaxFirstUseDelay{500};
constexpr int Trials = 200;
constexpr int MaxRequests = 40;

/// Starts @p count requests that wait for a target and become overdue 7 to 9 ms after the call.
std::vector<std::shared_ptr<RelayRun>> startWaiting(Fixture &fixture, int count,
                                                    std::mt19937 &random)
{
    std::vector<std::shared_ptr<RelayRun>> runs;
    for (int i = 0; i < count; ++i) {
        // They wait until they become overdue, which is later than the next pass.
        const Milliseconds objective(7 + int(random() % 3));
        runs.push_back(std::make_shared<RelayRun>(
            fixture.context, fixture.task(i, objective, Tokens(0), fixture.timers.now()),
            std::make_shared<CallerReply>(std::weak_ptr<CallerConnection>(), 1),
            [](const RelayRun *) {}));
        runs.back()->start();
    }
    return runs;
}

} // namespace

// Guards against a crash: requests became overdue while the waiting requests were sorted, and the
// sort read memory before the list.
BOOST_FIXTURE_TEST_CASE(RequestsBecomeOverdueWhileTheyAreSorted, Fixture)
{
    std::mt19937 random(1);
    for (int trial = 0; trial < Trials; ++trial) {
        const int count = 3 + int(random() % (MaxRequests - 3));
        timers.setStep(0ns);
        const auto runs = startWaiting(*this, count, random);
        BOOST_REQUIRE(std::all_of(runs.begin(), runs.end(),
                                  [](const auto &run) { return run->isWaiting(); }));
        waiting.roomChanged();
        timers.advance(4ms);
        // The sort takes between a tenth of a millisecond and some milliseconds.
        timers.setStep(Nanoseconds(1000 + int(random() % 50000)));
        timers.advance(1ms);
        timers.setStep(0ns);
        BOOST_TEST(waiting.size() == count);
        timers.advance(100ms);
        BOOST_REQUIRE(std::none_of(runs.begin(), runs.end(),
                                   [](const auto &run) { return run->isWaiting(); }));
        waiting.roomChanged();
        timers.advance(5ms);
        BOOST_REQUIRE_EQUAL(waiting.size(), 0);
    }
}

// Guards against a crash: the priorities of streams changed while the streams of a leaving target
// were sorted, and the sort read memory before the list.
BOOST_FIXTURE_TEST_CASE(MovePrioritiesChangeWhileStreamsAreSorted, Fixture)
{
    QTcpServer server; // Never accepts: the event loop does not run.
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    std::mt19937 random(1);
    int number = 0;
    callerProtocol.readRequest = [&](const HttpRequest &) -> Result<RelayRequest> {
        const Tokens prompt(1 + int(random() % 200));
        RelayRequest request = task(++number, 20s, prompt, timers.now()).request;
        request.target = "/";
        request.maxOutput = Tokens(1 + int(random() % 60));
        return request;
    };
    RelayConfiguration configuration;
    configuration.version = ConfigurationVersion(1);
    RelayRoute route = task(0, 20s, Tokens(0), timers.now()).route;
    route.prefix = "/";
    route.services = {{service, 1}};
    configuration.routes[""] = {route};
    configuration.services[service] = {service, task(0, 20s, Tokens(0), timers.now()).engine, 0};
    for (int trial = 0; trial < Trials; ++trial) {
        RelayTarget target;
        target.id = TargetId(QString::number(trial));
        target.service = service;
        target.endpoint = {QStringLiteral("127.0.0.1"), server.serverPort()};
        target.slots = 1000;
        targets.put(target);
        timers.advance(MaxFirstUseDelay);
        RelayGateway gateway(context, [] { return true; });
        gateway.setConfiguration(configuration, StoreSource::Read, 0ms, 0);
        const int count = 3 + int(random() % (MaxRequests - 3));
        for (int i = 0; i < count; ++i)
            gateway.handle(HttpRequest(),
                           std::make_shared<CallerReply>(std::weak_ptr<CallerConnection>(), 1));
        BOOST_REQUIRE((gateway.enginesWithStreams() == QList<TargetId>{target.id}));
        // About the time that the streams are expected to last.
        targets.markLeavingByPeer(target.id, 400ms);
        timers.setStep(std::chrono::microseconds(100 + int(random() % 20000)));
        gateway.targetLeaving(target.id);
        timers.setStep(0ns);
        BOOST_TEST(gateway.running() == count);
    }
}
