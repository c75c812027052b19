// Tests that generations move away from draining runners.
#define BOOST_TEST_MODULE PlatformMoves
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "standins/users/CloseDelimitedProxy.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QTimer>

#include <vector>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int Events = 200;
/// Tail of a daemon's log that is shown if the daemon has ended; it contains the stack trace.
constexpr qsizetype LogTailBytes = 4000;
/// Longer than a stream takes to end.
constexpr Milliseconds AnswerDelay{100};
constexpr Milliseconds SendInterval{50};
/// The answer of a runner to a move order when the destination holds the copied state.
const QByteArray CopyHeld = R"({"handle":"copy","created":1})";

/// The order to stop a generation and copy its remaining state.
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
        first.setGeneration(Events, Milliseconds(10));
        second.setGeneration(Events, Milliseconds(10));
        call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
        isOnFirst = first.generating() == 1;
    }

    Runner &source() { return isOnFirst ? first : second; }
    Runner &destination() { return isOnFirst ? second : first; }
    void drainSource() { site.announce(source(), "model", "draining"); }
    /// Adds another target and waits until the daemon knows it, and with it every entry written
    /// before.
    void awaitEntriesApplied(const QByteArray &marker)
    {
        site.addRunner(marker, "plain");
        BOOST_REQUIRE(test::waitFor(
            [&] { return site.log(daemon).contains("target.joined target=" + marker); }));
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    Runner &second = site.addRunner("model-2", "model");
    int daemon = -1;
    std::shared_ptr<test::ClientCall> call;
    bool isOnFirst = true;
};

/// As Fixture, with streams that have neither a length nor chunks.
struct CloseDelimitedFixture {
    CloseDelimitedFixture()
    {
        first.setAnnounced(firstProxy.endpoint());
        second.setAnnounced(secondProxy.endpoint());
        for (Runner *runner : {&first, &second}) {
            runner->setGeneration(Events, Milliseconds(10));
            site.announce(*runner, "model", "ready");
        }
        site.configure(1);
        site.setFirstStart();
        daemon = site.startDaemon();
        call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
        source = first.generating() == 1 ? &first : &second;
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    Runner &second = site.addRunner("model-2", "model");
    standin::CloseDelimitedProxy firstProxy{first.endpoint()};
    standin::CloseDelimitedProxy secondProxy{second.endpoint()};
    int daemon = -1;
    std::shared_ptr<test::ClientCall> call;
    Runner *source = nullptr;
};

} // namespace

// Guards against the loss of a stream whose runner drains while it generates. The stream resumes on
// another runner after the client's last event, and every event arrives once and in order.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnElsewhere, Fixture)
{
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_REQUIRE_EQUAL(destination().ran().size(), 1);
    const HttpHeaders &headers = destination().ran().first().headers;
    BOOST_TEST((headers.value("Kv-From") == source().address() + "/copy"));
    BOOST_TEST((headers.value("Cranberryquay-Request-Id") == "r1"));
}

// Guards against a truncated stream that looks complete: the runner that a stream was moved to
// answered with an error, and the daemon took the end of that answer for the end of the stream.
BOOST_FIXTURE_TEST_CASE(FailureAfterAMoveIsNoEnd, Fixture)
{
    Runner &destinationRunner = destination();
    destinationRunner.setOverride(
        [&destinationRunner](const HttpRequest &request, const Runner::Reply &reply) {
            const bool isResumed = request.headers.contains("Kv-From");
            if (isResumed)
                reply->send({500, destinationRunner.answerHeaders(request), "failed"});
            return isResumed;
        });
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(!call->response.body.contains("failed"));
}

// Guards against a generation that runs twice: it was stopped for a move before its first event had
// arrived, and its destination refused it.
BOOST_AUTO_TEST_CASE(GenerationMovedBeforeItsFirstEventRunsOnce)
{
    constexpr Milliseconds LongInterval{5000};
    test::PlatformSite site;
    site.configure(1);
    site.setFirstStart();
    std::vector<Runner *> runners;
    int takeovers = 0;
    for (const QByteArray id : {"model-1", "model-2", "model-3"}) {
        Runner &runner = site.addRunner(id, "model");
        runner.setGeneration(Events, LongInterval);
        runner.setOverride([&takeovers](const HttpRequest &request, const Runner::Reply &reply) {
            const bool isResumed = request.headers.contains("Kv-From");
            if (isResumed) {
                ++takeovers;
                reply->send({503, {{"Cranberryquay-Not-Executed", "1"}}, {}});
            }
            return isResumed;
        });
        runners.push_back(&runner);
    }
    const int daemon = site.startDaemon();
    const auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    const auto runs = [&] {
        qsizetype count = 0;
        for (const Runner *runner : runners)
            count += runner->ran().size();
        return count;
    };
    BOOST_REQUIRE(test::waitFor([&] { return runs() == 1; }));
    for (const Runner *runner : runners) {
        if (runner->generating() == 1)
            site.announce(*runner, "model", "draining");
    }
    BOOST_REQUIRE(test::waitFor([&] { return takeovers == 1; }));
    BOOST_TEST(test::waitFor([&] { return call->isOver || runs() > 1; }));
    BOOST_TEST(runs() == 1);
    BOOST_TEST(call->response.status == 502);
}

// A move is retried if the destination has no capacity at first, and the stream is not lost.
BOOST_FIXTURE_TEST_CASE(MoveWithoutRoomIsTriedAgain, Fixture)
{
    int refusals = 0;
    source().setOverride([&refusals](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isRefused = request.path == "/v1/kv-move" && refusals < 3;
        if (isRefused) {
            ++refusals;
            reply->send({503, {}, "{}"});
        }
        return isRefused;
    });
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(refusals == 3);
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// A move order is never answered. The stream stays on its runner and arrives complete.
BOOST_FIXTURE_TEST_CASE(UnansweredMoveLeavesTheStream, Fixture)
{
    source().setOverride([](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isMove = request.path == "/v1/kv-move";
        if (isMove)
            reply->abort();
        return isMove;
    });
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// A draining runner gets no new request.
BOOST_FIXTURE_TEST_CASE(LeavingRunnerTakesNothingNew, Fixture)
{
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    const qsizetype runsBefore = source().ran().size();
    for (int i = 0; i < 4; ++i) {
        const QByteArray id = "n" + QByteArray::number(i);
        destination().setGeneration(3, Milliseconds(2));
        const auto nextCall =
            site.call(daemon, "POST", "/model/a", id, test::PlatformSite::generation());
        BOOST_TEST((nextCall->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(source().ran().size() == runsBefore);
}

// Guards against a resume on the wrong target: the last part of the state finds no capacity, so
// that only the source still holds the generation. It was resumed there without the target's id, so
// that another target that has taken over the address would run it.
BOOST_FIXTURE_TEST_CASE(StreamResumedAtItsSourceNamesTheTarget, Fixture)
{
    Runner &sourceRunner = source();
    sourceRunner.setOverride(
        [&sourceRunner](const HttpRequest &request, const Runner::Reply &reply) {
            const bool isLast = isLastMove(request);
            if (isLast) {
                sourceRunner.crash();
                reply->send({503, {}, CopyHeld});
            }
            return isLast;
        });
    drainSource();
    BOOST_REQUIRE(test::waitFor([&] { return sourceRunner.ran().size() == 2; }));
    const HttpHeaders &headers = sourceRunner.ran().last().headers;
    BOOST_TEST((headers.value("Kv-From") == sourceRunner.address() + "/copy"));
    BOOST_TEST((headers.value("Cranberryquay-Expect-Instance") == sourceRunner.id()));
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// Guards against a double release: a stream is lost because its data centre is evacuated while it
// is stopped for a move. Its slot at the destination was released twice, so that the destination
// was counted as less loaded than it was.
BOOST_FIXTURE_TEST_CASE(StreamLostDuringAMoveFreesItsPlaceOnce, Fixture)
{
    Runner::Reply lastMove;
    Runner &sourceRunner = source();
    sourceRunner.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast)
            lastMove = reply;
        return isLast;
    });
    drainSource();
    BOOST_REQUIRE(test::waitFor([&] { return lastMove != nullptr; }));
    site.evacuate(QStringLiteral("hall"), true);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("evacuation.in_force"); }));
    sourceRunner.crash();
    lastMove->send({503, {}, CopyHeld});
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    site.evacuate(QStringLiteral("hall"), false);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("evacuation.ended"); }));
    destination().setGeneration(3, Milliseconds(2));
    const auto nextCall =
        site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST((nextCall->response.body == test::PlatformSite::events(3)));
    const QByteArray sentLine = "name=relay.sent request=r2 target=" + destination().id();
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains(sentLine); }));
    const QByteArray log = site.log(daemon);
    const QByteArray line = log.mid(log.indexOf(sentLine)).split('\n').first();
    BOOST_TEST_INFO(line.constData());
    // The request itself is the only one counted.
    BOOST_TEST(line.contains(" own=1 "));
}

// Guards against a wrong count of requests at a destination whose entry is removed while the last
// part is copied there. The stream that resumed there was not counted; when the entry was added and
// removed again, the daemon crashed.
BOOST_FIXTURE_TEST_CASE(StreamAtADestinationWhoseEntryEndsIsCounted, Fixture)
{
    const QString entry = QStringLiteral("servers/") + QString::fromLatin1(destination().id());
    Runner::Reply lastMove;
    Runner &sourceRunner = source();
    sourceRunner.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast)
            lastMove = reply;
        return isLast;
    });
    drainSource();
    BOOST_REQUIRE(test::waitFor([&] { return lastMove != nullptr; }));
    site.store().remove(entry);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=target.gone"); }));
    sourceRunner.crash();
    lastMove->send({200, {}, CopyHeld});
    BOOST_REQUIRE(test::waitFor([&] { return destination().generating() == 1; }));
    site.announce(destination(), "model", "ready");
    awaitEntriesApplied("marker-1");
    site.store().remove(entry);
    awaitEntriesApplied("marker-2");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_TEST_INFO(site.log(daemon).right(LogTailBytes).constData());
    BOOST_TEST(!site.hasEnded(daemon));
}

// A stream without a length moves like any other: its close by the move order is no end.
BOOST_FIXTURE_TEST_CASE(StreamWithoutLengthGoesOnElsewhere, CloseDelimitedFixture)
{
    site.announce(*source, "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_TEST(first.ran().size() + second.ran().size() == 2);
}

// Guards against a truncated stream that looks complete: the runner stopped it as ordered, which
// closed its connection in order between two events, and the answer to the order was lost before or
// after that.
BOOST_FIXTURE_TEST_CASE(StopWhoseAnswerIsLostIsNoEnd, CloseDelimitedFixture)
{
    source->setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast) {
            source->crash();
            QTimer::singleShot(AnswerDelay, [reply] { reply->abort(); });
        }
        return isLast;
    });
    site.announce(*source, "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
}

BOOST_FIXTURE_TEST_CASE(StopAfterItsAnswerIsLostIsNoEnd, CloseDelimitedFixture)
{
    source->setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast) {
            reply->abort();
            QTimer::singleShot(AnswerDelay, [&] { source->crash(); });
        }
        return isLast;
    });
    site.announce(*source, "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
}

// The runner had sent the whole stream when the order came, and says that it has no such run.
BOOST_FIXTURE_TEST_CASE(StreamThatEndsBeforeItsStopIsWhole, CloseDelimitedFixture)
{
    source->setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast) {
            // Ends with its next event.
            source->setGeneration(1, Milliseconds(10));
            QTimer::singleShot(AnswerDelay, [reply] { reply->send({404, {}, "{}"}); });
        }
        return isLast;
    });
    site.announce(*source, "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
}

// Guards against a generation that is moved to a runner that asked for a pause.
BOOST_FIXTURE_TEST_CASE(AMoveAvoidsAPausedRunner, Fixture)
{
    Runner &third = site.addRunner("model-3", "model");
    int calls = 0;
    third.setOverride([&](const HttpRequest &, const Runner::Reply &reply) {
        ++calls;
        reply->send({503, {{"Retry-After", "20"}}, {}});
        return true;
    });
    awaitEntriesApplied("marker");
    // It has no load, so that one of the next generations is for it.
    std::vector<std::shared_ptr<test::ClientCall>> others;
    QtTimerService timers;
    MonotonicTime next = timers.now();
    BOOST_REQUIRE(test::waitFor([&] {
        if (timers.now() >= next) {
            const QByteArray id = "s" + QByteArray::number(others.size());
            others.push_back(
                site.send(daemon, "POST", "/model/a", id, test::PlatformSite::generation()));
            next = timers.now() + SendInterval;
        }
        return site.log(daemon).contains("name=target.paused target=model-3");
    }));
    const int before = calls;
    drainSource();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_TEST(site.log(daemon).contains("name=move.begun request=r1"));
    BOOST_TEST(!site.log(daemon).contains("destination=model-3"));
    BOOST_TEST(calls == before);
}
