// From the id of a failed request to its cause, by the logs alone.
#define BOOST_TEST_MODULE PlatformExplained
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/CtlRun.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
        other = site.startDaemon();
    }

    /// What the tool says of @p request once a log has the line @p last of it.
    QByteArray explained(const QByteArray &request, const QByteArray &last)
    {
        const QByteArray line = "name=" + last + " request=" + request;
        BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains(line); }));
        const QString one = test::temporaryFile(QStringLiteral("one.log"), site.log(daemon));
        const QString two = test::temporaryFile(QStringLiteral("two.log"), site.log(other));
        const test::CtlRun run =
            test::runCtl({QStringLiteral("explain"), QString::fromLatin1(request), two, one});
        BOOST_TEST(run.exitCode == 0);
        return run.output;
    }

    test::PlatformSite site;
    Runner &model = site.addRunner("model-1", "model");
    Runner &plain = site.addRunner("plain-1", "plain");
    int daemon = -1;
    int other = -1;
};

} // namespace

// A client complains of a stream that broke off midway: its runner had crashed.
BOOST_FIXTURE_TEST_CASE(StreamCutMidway, Fixture)
{
    model.setGeneration(1000, Milliseconds(10));
    const auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
    model.crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    const QByteArray told = explained("r1", "relay.ended");
    BOOST_TEST(told.contains("Ended as broken off"));
    BOOST_TEST(told.contains("at target model-1: reset by the peer"));
    BOOST_TEST(told.contains("name=target.suspected target=model-1"));
}

// A client complains of a 502: the runner had broken the connection off.
BOOST_FIXTURE_TEST_CASE(PlainRequestThatFailed, Fixture)
{
    plain.setOverride([](const HttpRequest &, const Runner::Reply &reply) {
        reply->abort();
        return true;
    });
    BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", "r1")->response.status == 502);
    const QByteArray told = explained("r1", "relay.ended");
    BOOST_TEST(told.contains("has run: maybe"));
    BOOST_TEST(told.contains("to target plain-1, ended as broken: reset by the peer"));
}

// A client complains of a refusal: no engine had room until its time was over.
BOOST_FIXTURE_TEST_CASE(RefusalWithoutRoom, Fixture)
{
    model.setRoom(0);
    const auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(call->response.status == 503);
    const QByteArray told = explained("r1", "relay.ended");
    BOOST_TEST(told.contains("Ended as no_target"));
    BOOST_TEST(told.contains("has run: no"));
    BOOST_TEST(told.contains("engines refused room, 0 sends"));
}

// A client complains of a 503 for a route that it knows to exist: the store was away, and the
// daemon could not tell whether a newer configuration has the route.
BOOST_FIXTURE_TEST_CASE(RefusalWithoutTheStore, Fixture)
{
    site.signal(other, SIGKILL);
    site.store().refuse(standin::StoreEmulator::Door::First, true);
    int tries = 0;
    QByteArray id;
    BOOST_REQUIRE(test::waitFor([&] {
        id = "r" + QByteArray::number(++tries);
        return site.call(daemon, "GET", "/extra/a", id)->response.status == 503;
    }));
    const QByteArray told = explained(id, "relay.refused");
    BOOST_TEST(told.contains("Refused as not_ready: no route"));
    BOOST_TEST(told.contains("The platform's store was away since"));
}

// Logs without the request are no explanation.
BOOST_FIXTURE_TEST_CASE(UnknownRequestIsTold, Fixture)
{
    const QString log = test::temporaryFile(QStringLiteral("one.log"), site.log(daemon));
    const test::CtlRun run = test::runCtl({QStringLiteral("explain"), QStringLiteral("r9"), log});
    BOOST_TEST(run.exitCode == 1);
    BOOST_TEST(run.errors.contains("request=r9"));
    const test::CtlRun missing =
        test::runCtl({QStringLiteral("explain"), QStringLiteral("r9"), QStringLiteral("/no/log")});
    BOOST_TEST(missing.exitCode == 2);
}

// A client was refused at once: the only data centre with targets for it had been evacuated.
BOOST_FIXTURE_TEST_CASE(RefusedAsAllIsEvacuated, Fixture)
{
    site.evacuate(QStringLiteral("hall"), true);
    int requests = 0;
    QByteArray id;
    BOOST_REQUIRE(test::waitFor([&] {
        id = "e" + QByteArray::number(++requests);
        return site.call(daemon, "GET", "/safe/a", id)->response.status == 503;
    }));
    const QByteArray told = explained(id, "relay.ended");
    BOOST_TEST(told.contains("Ended as no_target"));
    BOOST_TEST(told.contains("has run: no"));
    BOOST_TEST(told.contains("Data centre hall was evacuated since"));
}
