// Generations that go on from the copy that another runner keeps of them.
#define BOOST_TEST_MODULE PlatformBackups
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int Events = 200;
/// An answer that is worth a copy.
constexpr int MostOutput = 2000;
/// Bytes of a daemon's log shown if it has ended: its stack is there.
constexpr qsizetype LogTail = 4000;
/// The answer of a runner that holds what it copied.
const QByteArray CopyHeld = R"({"handle":"copy","created":1})";

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
        first.setGeneration(Events, Milliseconds(10));
        second.setGeneration(Events, Milliseconds(10));
        call = site.send(daemon, "POST", "/model/a", "r1",
                         test::PlatformSite::generation(100, MostOutput));
        // Long enough for the first part of the copy to have been sent.
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.contains("id: 80\n"); }));
        isAtFirst = first.generating() == 1;
    }

    Runner &source() { return isAtFirst ? first : second; }
    Runner &holder() { return isAtFirst ? second : first; }
    bool isWhole() const { return call->response.body == test::PlatformSite::events(Events); }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    Runner &second = site.addRunner("model-2", "model");
    int daemon = -1;
    std::shared_ptr<test::ClientCall> call;
    bool isAtFirst = true;
};

} // namespace

// A runner crashes without a word while it generates. The client's stream goes on from the copy at
// the other runner; every event comes once and in order.
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

// A runner goes dark: it closes nothing and sends nothing. The client would give the stream up; it
// goes on from the copy.
BOOST_FIXTURE_TEST_CASE(SilentGenerationGoesOn, Fixture)
{
    source().startAgain(1700000000000);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
    BOOST_TEST(test::waitFor([&] { return site.log(daemon).contains("reason=silent"); }));
}

// A runner leaves. The copy is there already, so that nothing has to cross the runners' links
// before the stream can go on; the first run ends.
BOOST_FIXTURE_TEST_CASE(LeavingRunnersGenerationIsTakenOver, Fixture)
{
    site.announce(source(), "model", "draining");
    BOOST_REQUIRE(test::waitFor([&] { return source().generating() == 0; }));
    BOOST_TEST(holder().generating() == 1);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(isWhole());
}

// The runner that should have the copy has none and says so. The first run was not given up before
// that answer: it goes on, and its memory is moved as without a copy.
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

// A runner crashes, and the one with the copy has crashed before. The client is told: the stream
// does not look whole.
BOOST_FIXTURE_TEST_CASE(StreamWithoutAnyCopyIsBrokenOff, Fixture)
{
    site.store().remove(QStringLiteral("servers/") + QString::fromLatin1(holder().id()));
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=target.gone"); }));
    source().crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(!isWhole());
}

// A generation is copied away from a runner that leaves, as the one with its backup may not be used
// then; its connection breaks, and the backup goes on after all. The copy went on beside that and
// took the generation to a third runner; the daemon crashed when the first answer came.
BOOST_FIXTURE_TEST_CASE(TakeoverEndsACopyUnderWay, Fixture)
{
    // Not over before the answers below.
    constexpr int LongEvents = 3000;
    Runner &third = site.addRunner("model-3", "model");
    for (Runner *runner : {&first, &second, &third})
        runner->setGeneration(LongEvents, Milliseconds(1));
    const QString held = QStringLiteral("servers/") + QString::fromLatin1(holder().id());
    site.store().put(held, "unreadable");
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
    // No other runner can keep a further backup.
    site.announce(holder(), "model", "draining");
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).contains("name=target.leaving target=" + holder().id()); }));
    firstMove->send({200, {}, CopyHeld});
    // Two further orders stop the generation and take it to the third runner.
    BOOST_REQUIRE(test::waitFor([&] { return isMoveCancelled || moves == 3; }));
    BOOST_TEST(isMoveCancelled);
    takeover->startStream(200, holder().answerHeaders(takeoverRequest));
    for (int i = takeoverRequest.headers.value("Last-Event-Id").toInt() + 1; i <= LongEvents; ++i)
        takeover->write(Runner::event(i));
    takeover->end();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(LongEvents)));
    BOOST_TEST_INFO(site.log(daemon).right(LogTail).constData());
    BOOST_TEST(!site.hasEnded(daemon));
}
