// Tests that a generation that continues at another runner ends at the one that it left, also if
// that one goes on with a generation whose connection was closed.
#define BOOST_TEST_MODULE AbandonedGenerations
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>
#include <map>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr Milliseconds EventInterval{10};
constexpr int Events = 200;
/// The source makes these only if nobody stops it.
constexpr int SourceEvents = 3000;
/// Output tokens; an answer of this length is long enough to be backed up.
constexpr int MaxOutputTokens = 2000;
/// By this event the first part of the backup has been sent.
constexpr int BackedUpEvent = 80;

bool isLastMove(const HttpRequest &request)
{
    return request.path == "/v1/kv-move" && request.body.contains("\"last\":true");
}

struct Fixture {
    Fixture()
    {
        site.configure(1);
        site.setFirstStart();
        daemon = site.startDaemon();
        for (Runner *runner : {&first, &second}) {
            runner->setWorksOnAfterClose(true);
            runner->setGeneration(Events, EventInterval);
            watch(*runner);
        }
        call = site.send(daemon, "POST", "/model/a", "r1",
                         test::PlatformSite::generation(100, MaxOutputTokens));
        BOOST_REQUIRE(test::waitFor([&] {
            return call->response.body.contains("id: " + QByteArray::number(BackedUpEvent) + '\n');
        }));
        isOnFirst = first.generating() == 1;
        // The holder ends the generation long before the source would.
        source().setGeneration(SourceEvents, EventInterval);
    }

    Runner &source() { return isOnFirst ? first : second; }
    Runner &holder() { return isOnFirst ? second : first; }
    void watch(Runner &runner)
    {
        runner.onWorked(
            [this, &runner](const HttpRequest &, int event) { lastEvent[runner.id()] = event; });
    }
    bool isWhole() const { return call->response.body == test::PlatformSite::events(Events); }
    /// The source does not run the generation and was stopped before its end.
    bool isSourceStopped()
    {
        return test::waitFor([&] { return source().generating() == 0; })
            && lastEvent[source().id()] < SourceEvents;
    }
    /// Waits for the whole answer from the holder; the source must have stopped by then.
    void checkContinued()
    {
        BOOST_TEST(test::PlatformSite::finish(call));
        BOOST_TEST(isWhole());
        BOOST_TEST(source().generating() == 0);
        BOOST_TEST(lastEvent[source().id()] < SourceEvents);
        BOOST_TEST(lastEvent[holder().id()] == Events);
        BOOST_TEST(test::waitFor([&] { return site.log(daemon).contains("name=stop.ended"); }));
    }

    test::PlatformSite site;
    std::map<QByteArray, int> lastEvent;
    Runner &first = site.addRunner("model-1", "model");
    Runner &second = site.addRunner("model-2", "model");
    int daemon = -1;
    std::shared_ptr<test::ClientCall> call;
    bool isOnFirst = true;
};

} // namespace

// Guards against a generation that runs at two runners: the one that leaves works on after the
// holder of the backup has continued it.
BOOST_FIXTURE_TEST_CASE(LeavingRunnerStops, Fixture)
{
    site.announce(source(), "model", "draining");
    checkContinued();
}

// The same for a runner that breaks its stream off and works on.
BOOST_FIXTURE_TEST_CASE(RunnerWithABrokenStreamStops, Fixture)
{
    source().breakStreams();
    checkContinued();
}

// The same for a runner whose stream falls silent while it works on.
BOOST_FIXTURE_TEST_CASE(SilentRunnerStops, Fixture)
{
    source().setSilent(true);
    checkContinued();
}

// Guards against a copy of a generation that has ended: a runner that drops a generation with its
// connection has nothing to copy when it is ordered to stop.
BOOST_FIXTURE_TEST_CASE(RunnerThatDropsTheGenerationCopiesNothing, Fixture)
{
    source().setWorksOnAfterClose(false);
    site.announce(source(), "model", "draining");
    checkContinued();
    BOOST_TEST(site.log(daemon).contains("outcome=not_running"));
    BOOST_TEST(!site.log(daemon).contains("outcome=stopped"));
}

// Guards against a stop that is ordered once: the first orders are lost.
BOOST_FIXTURE_TEST_CASE(LostOrderIsRepeated, Fixture)
{
    int lost = 0;
    source().setOverride([&lost](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLost = isLastMove(request) && lost < 2;
        if (isLost) {
            ++lost;
            reply->abort();
        }
        return isLost;
    });
    source().breakStreams();
    checkContinued();
    BOOST_TEST(lost == 2);
}

// The same for an order that is never answered.
BOOST_FIXTURE_TEST_CASE(UnansweredOrderIsRepeated, Fixture)
{
    Runner::Reply unanswered;
    source().setOverride([&unanswered](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isFirst = isLastMove(request) && !unanswered;
        if (isFirst)
            unanswered = reply;
        return isFirst;
    });
    source().breakStreams();
    checkContinued();
    BOOST_TEST(unanswered);
}

// The same for orders that a runner refuses while it is copying the generation.
BOOST_FIXTURE_TEST_CASE(OrderIsRepeatedUntilACopyEnds, Fixture)
{
    int refused = 0;
    source().setOverride([&refused](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isRefused = isLastMove(request) && refused < 3;
        if (isRefused) {
            ++refused;
            reply->send({409, {}, "{}"});
        }
        return isRefused;
    });
    source().breakStreams();
    checkContinued();
    BOOST_TEST(refused == 3);
}

// Guards against a copy that keeps its memory although nobody continues from it.
BOOST_FIXTURE_TEST_CASE(CopyOfAStoppedGenerationIsFreed, Fixture)
{
    bool isFreed = false;
    source().setOverride([&isFreed](const HttpRequest &request, const Runner::Reply &) {
        isFreed = isFreed || request.path == "/v1/kv-handle/copy";
        return false;
    });
    source().breakStreams();
    checkContinued();
    BOOST_TEST(test::waitFor([&] { return isFreed; }));
}

// Guards against a pause that keeps the stop back: the runner has asked for no requests.
BOOST_FIXTURE_TEST_CASE(PausedRunnerStops, Fixture)
{
    for (Runner *runner : {&first, &second}) {
        runner->setOverride([](const HttpRequest &request, const Runner::Reply &reply) {
            const bool isReservation = request.path == "/v1/hold-take";
            if (isReservation)
                reply->send({503, {{"Retry-After", "20"}}, {}});
            return isReservation;
        });
    }
    const auto other = site.send(daemon, "POST", "/model/a", "r2",
                                 test::PlatformSite::generation(100, MaxOutputTokens));
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).contains("name=target.paused target=" + source().id()); }));
    source().breakStreams();
    checkContinued();
}

// Guards against a stop that is forgotten with its request: the caller leaves while the holder of
// the backup is asked to continue.
BOOST_FIXTURE_TEST_CASE(RunnerStopsAfterTheCallerHasLeft, Fixture)
{
    Runner::Reply takeover;
    holder().setOverride([&takeover](const HttpRequest &request, const Runner::Reply &reply) {
        if (Runner::isContinuation(request))
            takeover = reply;
        return Runner::isContinuation(request);
    });
    site.announce(source(), "model", "draining");
    BOOST_REQUIRE(test::waitFor([&] { return takeover != nullptr; }));
    call->exchange.reset();
    BOOST_TEST(isSourceStopped());
}

// Guards against a stop that waits for an answer: the holder may continue without one.
BOOST_FIXTURE_TEST_CASE(RunnerStopsThoughTheHolderDoesNotAnswer, Fixture)
{
    Runner::Reply takeover;
    holder().setOverride([&takeover](const HttpRequest &request, const Runner::Reply &reply) {
        if (Runner::isContinuation(request))
            takeover = reply;
        return Runner::isContinuation(request);
    });
    site.announce(source(), "model", "draining");
    BOOST_TEST(isSourceStopped());
    BOOST_TEST(takeover);
}

// Guards against a generation that runs at the holder of the backup and at its runner: the holder
// broke its answer off, so that the generation stays at its runner, and may work on.
BOOST_FIXTURE_TEST_CASE(HolderThatBreaksItsAnswerOffStops, Fixture)
{
    int stops = 0;
    holder().setOverride([&stops](const HttpRequest &request, const Runner::Reply &reply) {
        if (Runner::isContinuation(request))
            reply->abort();
        if (isLastMove(request) && request.body.contains("\"r1\""))
            ++stops;
        return Runner::isContinuation(request);
    });
    site.announce(source(), "model", "draining");
    BOOST_TEST(test::waitFor([&] { return stops > 0; }));
    // It was not ordered to stop, and no other runner continued the generation.
    BOOST_TEST(source().generating() == 1);
}

// Guards against a stop that ends with the process: the daemon shuts down before the order arrives.
BOOST_FIXTURE_TEST_CASE(RunnerStopsAlthoughTheDaemonShutsDown, Fixture)
{
    bool isLost = true;
    source().setOverride([&isLost](const HttpRequest &request, const Runner::Reply &reply) {
        if (isLastMove(request) && isLost)
            reply->abort();
        return isLastMove(request) && isLost;
    });
    holder().setGeneration(BackedUpEvent + 1, EventInterval);
    source().breakStreams();
    site.signal(daemon, SIGTERM);
    BOOST_TEST(test::PlatformSite::finish(call));
    isLost = false;
    BOOST_TEST(isSourceStopped());
}

// Guards against an order that stops a generation where it continues: a runner that it left must
// not hold its next backup.
BOOST_FIXTURE_TEST_CASE(RunnerThatWasLeftHoldsNoBackup, Fixture)
{
    source().breakStreams();
    checkContinued();
    BOOST_TEST(!holder().ran().last().headers.contains("Cranberryquay-Kv-Backup"));
}

// Guards against a stop that is ordered for the first of several takeovers only.
BOOST_FIXTURE_TEST_CASE(EachRunnerThatWasLeftStops, Fixture)
{
    Runner &third = site.addRunner("model-3", "model");
    third.setGeneration(Events, EventInterval);
    BOOST_REQUIRE(
        test::waitFor([&] { return site.log(daemon).contains("target.joined target=model-3"); }));
    holder().setGeneration(SourceEvents, EventInterval);
    source().breakStreams();
    BOOST_REQUIRE(test::waitFor([&] { return holder().generating() == 1; }));
    site.announce(holder(), "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
    BOOST_TEST(third.ran().size() == 1);
    for (Runner *left : {&source(), &holder()}) {
        BOOST_TEST(left->generating() == 0);
        BOOST_TEST(lastEvent[left->id()] < SourceEvents);
        BOOST_TEST(left->ran().size() == 1);
    }
}
