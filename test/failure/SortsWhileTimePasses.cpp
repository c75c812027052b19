// Tests the sorts of requests whose keys depend on the time, with a clock that advances while they
// run.
#define BOOST_TEST_MODULE SortsWhileTimePasses
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "http/HttpClient.h"
#include "relay/BrittleServices.h"
#include "relay/CrashGuard.h"
#include "relay/DataCentreHeads.h"
#include "relay/EngineReports.h"
#include "relay/OutputForecast.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerForwarding.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/RelayGateway.h"
#include "relay/RelayRun.h"
#include "relay/RoomForecast.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetLimits.h"
#include "relay/WaitingRequests.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <QTcpServer>

#include <random>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

using Nanoseconds = std::chrono::nanoseconds;

const ServiceId Service(QStringLiteral("engines"));
/// A new target is used after this time at the latest.
constexpr Milliseconds MaxFirstUseDelay{500};
constexpr int Trials = 200;
constexpr int MaxRequests = 40;

/// A timer service whose clock advances by a fixed step with each reading.
class AdvancingTimers final : public TimerService
{
public:
    MonotonicTime now() const override
    {
        m_passed += m_step;
        return m_timers.now() + m_passed;
    }
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override
    {
        return m_timers.every(interval, std::move(callback));
    }
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override
    {
        return m_timers.after(delay, std::move(callback));
    }

    void advance(Milliseconds duration) { m_timers.advance(duration); }
    void setStep(Nanoseconds step) { m_step = step; }

private:
    test::ManualTimers m_timers;
    mutable Nanoseconds m_passed{0};
    Nanoseconds m_step{0};
};

/// The components that requests use, without a network.
struct Fixture {
    Fixture()
    {
        callerProtocol.failure = [](const Error &, std::optional<Milliseconds>) {
            return HttpResponse();
        };
        callerProtocol.requestId = [](const HttpRequest &) { return RequestId(); };
        targetProtocol.attempt = [](const RelayRequest &, const AttemptPlan &) {
            return HttpRequest();
        };
        targetProtocol.report = [] { return HttpRequest(); };
        // Without peers, a daemon holds requests until it gives up asking for their records.
        timers.advance(3s);
    }

    RelayTask task(int number, Milliseconds objective, Tokens prompt, MonotonicTime arrived)
    {
        RelayTask task;
        task.request.id = RequestId(QString::number(number));
        task.request.promptTokens = prompt;
        task.request.maxOutput = Tokens(1000);
        task.request.expectedOutput = Tokens(100 + number % 3);
        task.route.name = QStringLiteral("route");
        task.route.kind = RequestKind::Stream;
        task.route.objective = objective;
        task.route.timeout = 30s;
        task.route.priority = number % 2;
        task.service = Service;
        task.engine = EngineTraits();
        task.engine->memory = Tokens(1000000);
        task.engine->batchSlots = 1000;
        task.arrived = arrived;
        return task;
    }

    struct Application {
        Application() { test::ensureApplication(); }
    } application;
    AdvancingTimers timers;
    HttpClient client{timers};
    RelayCounters counters;
    StoreProtocol storeProtocol;
    CallerProtocol callerProtocol;
    TargetProtocol targetProtocol;
    TargetDirectory targets{timers};
    TargetAvailability availability{timers, [](const TargetId &) { return 0; }};
    TargetClient targetClient{client, targetProtocol, availability};
    TargetLimits limits{timers};
    BrittleServices brittle{timers, targets, [] { return FleetPosition(); }};
    ReachMonitor reach{timers, targetClient, targets,
                       [](const ServiceId &) { return HttpRequest(); }};
    Peer self;
    PeerDirectory peers{timers, client, {}, storeProtocol, counters, self};
    PeerDatagrams datagrams{peers};
    PeerForwarding forwarding{peers};
    DataCentreHeads heads{timers, peers, datagrams};
    TargetAnnouncements news{timers, peers, heads, datagrams, targets, [] { return true; }};
    EngineReports reports{timers, targetClient, targets, targetProtocol, counters};
    WaitingRequests waiting{timers};
    RelayRetryBudget retryBudget{
        RetryLimits(), {}, [] { return FleetPosition(); }, [] { return 0.0; }};
    OutputForecast outputForecast;
    RoomForecast roomForecast;
    CrashGuard crashGuard{timers,
                          targetClient,
                          peers,
                          datagrams,
                          targets,
                          [](const ServiceId &, const TargetId &) { return HttpRequest(); },
                          [](const TargetId &, int, const HttpHeaders &) { return false; }};
    RelayContext context{timers,
                         client,
                         targetClient,
                         targets,
                         availability,
                         limits,
                         brittle,
                         reach,
                         forwarding,
                         news,
                         reports,
                         waiting,
                         retryBudget,
                         outputForecast,
                         roomForecast,
                         crashGuard,
                         counters,
                         callerProtocol,
                         targetProtocol,
                         Bytes(1024),
                         self.vm,
                         DataCentreId(QStringLiteral("hall")),
                         [] { return true; },
                         [] { return DistanceCosts(); },
                         [] { return true; }};
};

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
    route.services = {{Service, 1}};
    configuration.routes[""] = {route};
    configuration.services[Service] = {Service, task(0, 20s, Tokens(0), timers.now()).engine, 0};
    for (int trial = 0; trial < Trials; ++trial) {
        RelayTarget target;
        target.id = TargetId(QString::number(trial));
        target.service = Service;
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
