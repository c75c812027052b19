// Tests that generations resume from the backup that another runner keeps of them.
#define BOOST_TEST_MODULE PlatformBackups
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "standins/users/CloseDelimitedProxy.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int Events = 200;
/// Output tokens; an answer of this length is long enough to be backed up.
constexpr int MaxOutputTokens = 2000;
/// Tail of a daemon's log that is shown if the daemon has ended; it contains the stack trace.
constexpr qsizetype LogTailBytes = 4000;
/// The answer of a runner to a copy order when it holds the copied state.
const QByteArray CopyHeld = R"({"handle":"copy","created":1})";

struct Fixture {
    Fixture()
    {
        site.configure(1);
        site.setFirstStart();
        daemon = site.startDaemon();
        first.setGeneration(Events, Milliseconds(10));
        second.setGeneration(Events, Milliseconds(10));
        call = site.send(daemon, "POST", "/model/a", "r1",
                         test::PlatformSite::generation(100, MaxOutputTokens));
        // By this event the first part of the backup has been sent.
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.contains("id: 80\n"); }));
        isOnFirst = first.generating() == 1;
    }

    Runner &source() { return isOnFirst ? first : second; }
    Runner &holder() { return isOnFirst ? second : first; }
    bool isWhole() const { return call->response.body == test::PlatformSite::events(Events); }

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
        call = site.send(daemon, "POST", "/model/a", "r1",
                         test::PlatformSite::generation(100, MaxOutputTokens));
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.contains("id: 80\n"); }));
        source = first.generating() == 1 ? &first : &second;
        sourceProxy = first.generating() == 1 ? &firstProxy : &secondProxy;
    }

    bool isWhole() const
    {
        return call->end == HttpExchangeEnd::Complete
            && call->response.body == test::PlatformSite::events(Events);
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    Runner &second = site.addRunner("model-2", "model");
    standin::CloseDelimitedProxy firstProxy{first.endpoint()};
    standin::CloseDelimitedProxy secondProxy{second.endpoint()};
    int daemon = -1;
    std::shared_ptr<test::ClientCall> call;
    Runner *source = nullptr;
    standin::CloseDelimitedProxy *sourceProxy = nullptr;
};

} // namespace

// Guards against the loss of a stream whose runner crashes without notice while it generates. The
// client's stream resumes from the backup on the other runner, and every event arrives once and in
// order.
BOOST_FIXTURE_TEST_CASE(CrashedGenerationGoesOn, Fixture)
{
    BOOST_TEST(
        (source().ran().first().headers.value("Cranberryquay-Kv-Backup") == holder().address()));
    source().crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST(isWhole());
    BOOST_REQUIRE_EQUAL(holder().ran().size(), 1);
    const HttpHeaders &headers = holder().ran().first().headers;
    BOOST_TEST((headers.value("Kv-From") == holder().address() + "/r1"));
    BOOST_TEST((headers.value("Cranberryquay-Expect-Instance") == holder().id()));
}

// Guards against a stalled stream: a runner stops sending without closing its connections. The
// client would abandon the stream; it resumes from the backup instead.
BOOST_FIXTURE_TEST_CASE(SilentGenerationGoesOn, Fixture)
{
    source().startAgain(1700000000000);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
    BOOST_TEST(test::waitFor([&] { return site.log(daemon).contains("reason=silent"); }));
}

// A draining runner hands its generation over. The backup already exists, so nothing has to be
// transferred between the runners before the stream resumes, and the first run ends.
BOOST_FIXTURE_TEST_CASE(LeavingRunnersGenerationIsTakenOver, Fixture)
{
    site.announce(source(), "model", "draining");
    BOOST_REQUIRE(test::waitFor([&] { return source().generating() == 0; }));
    BOOST_TEST(holder().generating() == 1);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
}

// Guards against giving up the first run too early: the runner that should hold the backup answers
// that it has none. The first run continues until that answer, and its state is moved as without a
// backup.
BOOST_FIXTURE_TEST_CASE(MissingCopyCostsNothing, Fixture)
{
    int refusals = 0;
    holder().setOverride([&refusals](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isTakeover = request.headers.value("Kv-From").endsWith("/r1");
        if (isTakeover) {
            ++refusals;
            reply->send({503, {{"Cranberryquay-Not-Executed", "1"}}, {}});
        }
        return isTakeover;
    });
    site.announce(source(), "model", "draining");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(refusals == 1);
    BOOST_TEST(isWhole());
}

// Guards against a truncated stream that looks complete: a runner crashes after the holder of its
// backup has crashed. The client must see a broken stream.
BOOST_FIXTURE_TEST_CASE(StreamWithoutAnyCopyIsBrokenOff, Fixture)
{
    site.store().remove(QStringLiteral("servers/") + QString::fromLatin1(holder().id()));
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=target.gone"); }));
    source().crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(!isWhole());
}

// Guards against two concurrent takeovers. A generation is copied away from a draining runner
// because the runner with its backup is withheld at that time; then its connection breaks, and the
// backup is used after all. The copy continued in parallel and resumed the generation on a third
// runner; the daemon crashed when the first answer arrived.
BOOST_FIXTURE_TEST_CASE(TakeoverEndsACopyUnderWay, Fixture)
{
    // Long enough that the generation is still running when the answers below are sent.
    constexpr int LongEvents = 3000;
    Runner &third = site.addRunner("model-3", "model");
    for (Runner *runner : {&first, &second, &third})
        runner->setGeneration(LongEvents, Milliseconds(1));
    const QString holderKey = QStringLiteral("servers/") + QString::fromLatin1(holder().id());
    site.store().put(holderKey, "unreadable");
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=target.withheld"); }));
    Runner::Reply firstMove;
    bool isMoveCancelled = false;
    int moves = 0;
    source().setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (request.path != "/v1/kv-move")
            return false;
        ++moves;
        if (firstMove) {
            reply->send({200, {}, CopyHeld});
            return true;
        }
        firstMove = reply;
        reply->onCallerGone([&isMoveCancelled] { isMoveCancelled = true; });
        return true;
    });
    Runner::Reply takeover;
    HttpRequest takeoverRequest;
    holder().setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (!request.headers.contains("Kv-From"))
            return false;
        takeover = reply;
        takeoverRequest = request;
        return true;
    });
    site.announce(source(), "model", "draining");
    BOOST_REQUIRE(test::waitFor([&] { return firstMove != nullptr; }));
    site.announce(holder(), "model", "ready");
    site.addRunner("marker", "plain");
    BOOST_REQUIRE(
        test::waitFor([&] { return site.log(daemon).contains("target.joined target=marker"); }));
    source().crash();
    BOOST_REQUIRE(test::waitFor([&] { return takeover != nullptr; }));
    // Drained, so that no other runner can keep a further backup.
    site.announce(holder(), "model", "draining");
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).contains("name=target.leaving target=" + holder().id()); }));
    firstMove->send({200, {}, CopyHeld});
    // Without the cancellation, two further move orders stop the generation and resume it on the
    // third runner.
    BOOST_REQUIRE(test::waitFor([&] { return isMoveCancelled || moves == 3; }));
    BOOST_TEST(isMoveCancelled);
    takeover->startStream(200, holder().answerHeaders(takeoverRequest));
    for (int i = takeoverRequest.headers.value("Last-Event-Id").toInt() + 1; i <= LongEvents; ++i)
        takeover->write(Runner::event(i));
    takeover->end();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(LongEvents)));
    BOOST_TEST_INFO(site.log(daemon).right(LogTailBytes).constData());
    BOOST_TEST(!site.hasEnded(daemon));
}

// Guards against a backup that is given up: the runner crashed inside an event of a stream without
// a length, and its close in order counted as the end.
BOOST_FIXTURE_TEST_CASE(GenerationTornInsideAnEventGoesOn, CloseDelimitedFixture)
{
    sourceProxy->setTornBytes("id: 999\ndata: ev");
    source->crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
}

// The same for a crash between two events, which ends the process.
BOOST_FIXTURE_TEST_CASE(GenerationTornBetweenEventsGoesOn, CloseDelimitedFixture)
{
    sourceProxy->setListening(false);
    source->crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
}

// Guards against a stream that is lost although its backup is whole, as the runner that holds it
// asked for a pause.
BOOST_FIXTURE_TEST_CASE(AStreamContinuesAtAPausedHolder, Fixture)
{
    int calls = 0;
    const bool isFirst = &holder() == &first;
    holder().setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        ++calls;
        if (request.path != "/v1/hold-take")
            return false;
        reply->send({503, {{"Retry-After", "20"}}, {}});
        return true;
    });
    const auto other = site.send(daemon, "POST", "/model/a", "r2",
                                 test::PlatformSite::generation(100, MaxOutputTokens));
    const QByteArray paused =
        QByteArray("name=target.paused target=") + (isFirst ? "model-1" : "model-2");
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains(paused); }));
    const int before = calls;
    source().crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
    BOOST_TEST(calls - before <= 2);
}
