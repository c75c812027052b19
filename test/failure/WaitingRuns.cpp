// Tests what requests that wait for a target do to others, and what their callers are told, while
// targets are paused, missing or taken by other daemons.
#define BOOST_TEST_MODULE WaitingRuns
#include <boost/test/unit_test.hpp>

#include "http/HttpExchange.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "relay/AvailabilityNotice.h"
#include "relay/DemandMessage.h"
#include "relay/ForwardOutcome.h"
#include "relay/TargetCall.h"
#include "support/RunFixture.h"

#include <QCborArray>
#include <QTcpServer>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const TargetId Only(QStringLiteral("only"));
const VmId Other(QStringLiteral("other"));
constexpr int MostUrgent = 0;

struct Fixture : test::RunFixture {
    Fixture()
    {
        server.listen(QHostAddress::LocalHost);
        callerProtocol.failure = [this](const Error &, std::optional<Milliseconds> retryAfter) {
            rejections.append(retryAfter);
            return HttpResponse();
        };
    }

    void putTarget()
    {
        RelayTarget target;
        target.id = Only;
        target.service = service;
        target.endpoint = {QStringLiteral("127.0.0.1"), server.serverPort()};
        target.slots = 1;
        targets.put(target);
        timers.advance(600ms);
    }

    std::shared_ptr<RelayRun> start(int number = 1)
    {
        RelayTask plain = task(number, 5000ms, Tokens(0), timers.now());
        plain.route.kind = RequestKind::Idempotent;
        plain.route.priority = 5;
        plain.engine.reset();
        auto run = std::make_shared<RelayRun>(
            context, plain, std::make_shared<CallerReply>(std::weak_ptr<CallerConnection>(), 1),
            [](const RelayRun *) {});
        run->start();
        return run;
    }

    /// Another daemon reports a request that is more urgent than those of start().
    void reportUrgent(double roomSeconds = 1)
    {
        Peer peer;
        peer.vm = Other;
        DemandReport report;
        report.service = service;
        report.demand.waiting = {{MostUrgent, ReturnKind::New, 1, {1, roomSeconds}, timers.now()}};
        datagrams.deliver(peer, DatagramKind::Demand,
                          encodeDemand({{report}, {}, {}}, timers.now()));
    }

    /// Other daemons have @p running requests at the target.
    void setRunningOfOthers(int running)
    {
        PeerLoad load;
        load.running = running;
        load.heardAt = timers.now();
        targets.setPeerLoad(Only, Other, load);
        waiting.roomChanged();
        timers.advance(5ms);
    }

    /// A rate of placements is known, so that rejections name a time.
    void reportRates()
    {
        DemandReport report;
        report.service = service;
        report.demand.placed = {{MostUrgent, 1000}};
        report.demand.placements = 10;
        admission.receiveRates(Other, encodeRates({report}));
    }

    qint64 rejected() const
    {
        qint64 sum = 0;
        for (const auto &[priority, count] : admission.counters().rejected)
            sum += count;
        return sum;
    }

    bool reportsWaiting()
    {
        const QList<FleetAdmission::Figures> figures = admission.figures();
        return std::any_of(figures.begin(), figures.end(),
                           [](const auto &service) { return !service.own.waiting.isEmpty(); });
    }

    QTcpServer server; // Never accepts: the event loop does not run.
    QList<std::optional<Milliseconds>> rejections;
};

} // namespace

// Guards against a request that keeps room from others although it cannot use it.
BOOST_FIXTURE_TEST_CASE(RequestsForPausedTargetsAreNotReported, Fixture)
{
    putTarget();
    AvailabilityNotice notice;
    notice.isRejection = true;
    notice.pause = 1000ms;
    availability.recordAnswer({Only, {}, CallPurpose::Request}, 503, notice);
    BOOST_REQUIRE(availability.isPaused(Only));
    const auto run = start();
    BOOST_REQUIRE(run->isWaiting());
    BOOST_TEST(!reportsWaiting());
    timers.advance(500ms);
    BOOST_TEST(!reportsWaiting());
    BOOST_TEST(rejections.isEmpty());
}

// Guards against a promise of room, for which others are moved back, if there is no target.
BOOST_FIXTURE_TEST_CASE(NoRoomIsPromisedWithoutATarget, Fixture)
{
    const auto run = start();
    BOOST_REQUIRE(run->isWaiting());
    timers.advance(2900ms);
    BOOST_REQUIRE(run->isWaiting());
    reportRates();
    timers.advance(200ms);
    BOOST_TEST(!run->isWaiting());
    BOOST_TEST(rejections.size() == 1);
    BOOST_TEST(rejected() == 0);
}

// Guards against a request that overtakes a more urgent one of another daemon: once it had been
// held for 100 ms, it took the next room at once, although the other had used what was left to it.
BOOST_FIXTURE_TEST_CASE(RoomThatOthersHaveTakenWasNotLeftUnused, Fixture)
{
    putTarget();
    setRunningOfOthers(1); // Of two that the target takes.
    reportUrgent();
    const auto run = start();
    BOOST_REQUIRE(run->isWaiting());
    timers.advance(40ms);
    setRunningOfOthers(2);
    BOOST_TEST(run->isWaiting());
    for (int i = 0; i < 3; ++i) {
        reportUrgent();
        timers.advance(100ms);
        setRunningOfOthers(2);
    }
    reportUrgent();
    setRunningOfOthers(1);
    BOOST_TEST(run->isWaiting());
    // The room is left unused from here on.
    timers.advance(MaxIdleRoom + 100ms);
    BOOST_TEST(!run->isWaiting());
}

// Guards against work that grows with the requests, the promises and the passes: each change of
// room checked the estimate of each waiting request.
BOOST_FIXTURE_TEST_CASE(EstimatesAreCheckedAtTheirInterval, Fixture)
{
    putTarget();
    pressure.recordDemand(service);
    setRunningOfOthers(2);
    const auto run = start();
    // Estimates decide only after requests have waited for 2 s.
    for (int i = 0; i < 21; ++i) {
        timers.advance(100ms);
        setRunningOfOthers(2);
    }
    BOOST_REQUIRE(run->isWaiting());
    reportRates();
    reportUrgent(1e9);
    for (int i = 0; i < 10; ++i) {
        setRunningOfOthers(2);
        BOOST_TEST(run->isWaiting());
    }
    timers.advance(100ms);
    BOOST_TEST(!run->isWaiting());
    BOOST_TEST(rejected() == 1);
}

// Guards against a request that is rejected by its wait limit, whose caller is told no time.
BOOST_FIXTURE_TEST_CASE(ACallerThatWaitedForRoomIsToldWhenToReturn, Fixture)
{
    putTarget();
    pressure.recordDemand(service);
    setRunningOfOthers(2);
    const auto run = start();
    for (int i = 0; i < 28; ++i) {
        timers.advance(100ms);
        setRunningOfOthers(2);
    }
    BOOST_REQUIRE(run->isWaiting());
    reportRates();
    timers.advance(300ms);
    BOOST_TEST(!run->isWaiting());
    BOOST_TEST(rejected() == 1);
    BOOST_TEST(rejections.value(0).has_value());
}

// Guards against a request that waits, when its daemon shuts down, until it cannot be answered.
BOOST_FIXTURE_TEST_CASE(AWaitingRequestIsRejectedOnceItOutlastsTheDaemon, Fixture)
{
    const auto run = start();
    BOOST_REQUIRE(run->isWaiting());
    durations.recordAnswer(service, 500ms);
    shutdown = planShutdown(timers.now(), 2000ms);
    run->shutdownBegan();
    timers.advance(1200ms);
    BOOST_TEST(run->isWaiting());
    timers.advance(100ms);
    BOOST_TEST(!run->isWaiting());
    BOOST_REQUIRE(rejections.size() == 1);
    BOOST_TEST((rejections.first() == RetryAfterDraining));
}

// Guards against a request that another daemon could serve, and that is rejected as its daemon
// forwarded it to one that shuts down.
BOOST_FIXTURE_TEST_CASE(AForwardedRequestIsGivenBackByADaemonThatShutsDown, Fixture)
{
    callerProtocol.failure = [](const Error &, std::optional<Milliseconds>) {
        return HttpResponse{503, {}, {}};
    };
    std::shared_ptr<RelayRun> run;
    const auto handle = [&](const HttpRequest &, const std::shared_ptr<CallerReply> &reply) {
        RelayTask forwarded = task(1, 5000ms, Tokens(0), timers.now());
        forwarded.route.kind = RequestKind::AtMostOnce;
        forwarded.engine.reset();
        forwarded.forwardedBy = Other;
        run = std::make_shared<RelayRun>(context, forwarded, reply, [](const RelayRun *) {});
        run->start();
    };
    HttpListener listener(timers, handle, [](ErrorKind) { return HttpResponse(); });
    const quint16 port = listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value();
    HttpRequest request;
    request.method = "POST";
    request.path = "/";
    std::optional<HttpResponse> answer;
    const auto exchange =
        client.fetch({QStringLiteral("127.0.0.1"), port}, request, {},
                     [&](HttpExchangeEnd, const HttpResponse &response) { answer = response; });
    BOOST_REQUIRE(test::waitFor([&] { return run && run->isWaiting(); }));
    shutdown = planShutdown(timers.now(), 2000ms);
    run->shutdownBegan();
    timers.advance(1900ms);
    BOOST_REQUIRE(test::waitFor([&] { return answer.has_value(); }));
    BOOST_TEST(answer->status == 503);
    BOOST_TEST((forwardOutcomeOf(answer->headers) == ForwardOutcome::NotTaken));
}
