// Generations that move away from runners that leave.
#define BOOST_TEST_MODULE PlatformMoves
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int Events = 200;
/// Bytes of a daemon's log shown if it has ended: its stack is there.
constexpr qsizetype LogTail = 4000;
/// The answer of a runner that holds what it copied.
const QByteArray CopyHeld = R"({"handle":"copy","created":1})";

/// The order to stop a generation and copy what is left of it.
bool isLastMove(const HttpRequest &request)
{
    return request.path == "/v1/kv-move" && request.body.contains("\"last\":true");
}

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
        first.setGeneration(Events, Milliseconds(10));
        second.setGeneration(Events, Milliseconds(10));
        call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
        isAtFirst = first.generating() == 1;
    }

    Runner &source() { return isAtFirst ? first : second; }
    Runner &destination() { return isAtFirst ? second : first; }
    void leave() { site.announce(source(), "model", "draining"); }
    /// Adds another target and waits until the daemon knows it, and all that was written before.
    void awaitEntriesTaken(const QByteArray &marker)
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
    bool isAtFirst = true;
};

} // namespace

// A runner is taken away while it generates. Its stream goes on at another one from where the
// client is; every event comes once and in order.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnElsewhere, Fixture)
{
    leave();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_REQUIRE_EQUAL(destination().ran().size(), 1);
    const HttpHeaders &headers = destination().ran().first().headers;
    BOOST_TEST((headers.value("Kv-From") == source().address() + "/copy"));
    BOOST_TEST((headers.value("Cranberryquay-Request-Id") == "r1"));
}

// The runner that a stream was moved to answered it with a failure. The daemon took the end of
// that answer for the end of the stream, and the client saw half an answer as a whole one.
BOOST_FIXTURE_TEST_CASE(FailureAfterAMoveIsNoEnd, Fixture)
{
    Runner &there = destination();
    there.setOverride([&there](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isResumed = request.headers.contains("Kv-From");
        if (isResumed)
            reply->send({500, there.answerHeaders(request), "failed"});
        return isResumed;
    });
    leave();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(!call->response.body.contains("failed"));
}

// The other runner has no room at first. The move is tried again, and the stream is not lost.
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
    leave();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(refusals == 3);
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// The order to move is never answered. The stream stays where it is and comes whole.
BOOST_FIXTURE_TEST_CASE(UnansweredMoveLeavesTheStream, Fixture)
{
    source().setOverride([](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isMove = request.path == "/v1/kv-move";
        if (isMove)
            reply->abort();
        return isMove;
    });
    leave();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// A runner that leaves gets no new request.
BOOST_FIXTURE_TEST_CASE(LeavingRunnerTakesNothingNew, Fixture)
{
    leave();
    BOOST_TEST(test::PlatformSite::finish(call));
    const qsizetype before = source().ran().size();
    for (int i = 0; i < 4; ++i) {
        const QByteArray id = "n" + QByteArray::number(i);
        destination().setGeneration(3, Milliseconds(2));
        const auto next =
            site.call(daemon, "POST", "/model/a", id, test::PlatformSite::generation());
        BOOST_TEST((next->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(source().ran().size() == before);
}

// The last part finds no room, so that only the source still holds the generation. It was resumed
// there without the name of the target, and a target that has taken over the address would run it.
BOOST_FIXTURE_TEST_CASE(StreamResumedAtItsSourceNamesTheTarget, Fixture)
{
    Runner &from = source();
    from.setOverride([&from](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast) {
            from.crash();
            reply->send({503, {}, CopyHeld});
        }
        return isLast;
    });
    leave();
    BOOST_REQUIRE(test::waitFor([&] { return from.ran().size() == 2; }));
    const HttpHeaders &headers = from.ran().last().headers;
    BOOST_TEST((headers.value("Kv-From") == from.address() + "/copy"));
    BOOST_TEST((headers.value("Cranberryquay-Expect-Instance") == from.id()));
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}

// A stream is lost because its data centre is evacuated while it is stopped for a move. Its place
// at the destination was given back twice, so that the destination counted as emptier than it was.
BOOST_FIXTURE_TEST_CASE(StreamLostDuringAMoveFreesItsPlaceOnce, Fixture)
{
    Runner::Reply lastMove;
    Runner &from = source();
    from.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast)
            lastMove = reply;
        return isLast;
    });
    leave();
    BOOST_REQUIRE(test::waitFor([&] { return lastMove != nullptr; }));
    site.evacuate(QStringLiteral("hall"), true);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("evacuation.in_force"); }));
    from.crash();
    lastMove->send({503, {}, CopyHeld});
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    site.evacuate(QStringLiteral("hall"), false);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("evacuation.ended"); }));
    destination().setGeneration(3, Milliseconds(2));
    const auto next = site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST((next->response.body == test::PlatformSite::events(3)));
    const QByteArray sent = "name=relay.sent request=r2 target=" + destination().id();
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains(sent); }));
    const QByteArray log = site.log(daemon);
    const QByteArray line = log.mid(log.indexOf(sent)).split('\n').first();
    BOOST_TEST_INFO(line.constData());
    // Itself alone.
    BOOST_TEST(line.contains(" own=1 "));
}

// A destination's entry ends while the last part is copied there. The stream that went on there was
// not counted as its request; when the entry came back and ended again, the daemon crashed.
BOOST_FIXTURE_TEST_CASE(StreamAtADestinationWhoseEntryEndsIsCounted, Fixture)
{
    const QString entry = QStringLiteral("servers/") + QString::fromLatin1(destination().id());
    Runner::Reply lastMove;
    Runner &from = source();
    from.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isLast = isLastMove(request);
        if (isLast)
            lastMove = reply;
        return isLast;
    });
    leave();
    BOOST_REQUIRE(test::waitFor([&] { return lastMove != nullptr; }));
    site.store().remove(entry);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=target.gone"); }));
    from.crash();
    lastMove->send({200, {}, CopyHeld});
    BOOST_REQUIRE(test::waitFor([&] { return destination().generating() == 1; }));
    site.announce(destination(), "model", "ready");
    awaitEntriesTaken("marker-1");
    site.store().remove(entry);
    awaitEntriesTaken("marker-2");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
    BOOST_TEST_INFO(site.log(daemon).right(LogTail).constData());
    BOOST_TEST(!site.hasEnded(daemon));
}
