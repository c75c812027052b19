// Tests daemons that are stopped or reloaded while they serve.
#define BOOST_TEST_MODULE PlatformStops
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>

using namespace cranberry;

namespace {

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
    }

    test::PlatformSite site;
    standin::RunnerEmulator &plain = site.addRunner("plain-1", "plain");
    standin::RunnerEmulator &model = site.addRunner("model-1", "model");
    int daemon = -1;
};

} // namespace

// A daemon is stopped while a stream runs: the stream completes, the balancer sees at once that the
// daemon is not ready, short requests are still served, and the process ends when all are done.
BOOST_FIXTURE_TEST_CASE(StopCutsNothingShort, Fixture)
{
    model.setGeneration(60, Milliseconds(10));
    auto stream = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return stream->response.body.size() > 100; }));
    site.signal(daemon, SIGTERM);
    BOOST_TEST(test::waitFor([&] { return !site.isReady(daemon); }));
    BOOST_TEST(site.call(daemon, "GET", "/safe/a", "r2")->response.status == 200);
    BOOST_TEST(test::PlatformSite::finish(stream));
    BOOST_TEST((stream->response.body == test::PlatformSite::events(60)));
    BOOST_TEST(test::waitFor([&] { return site.hasEnded(daemon); }));
}

// Guards against a stream that is cut when a stopping process is killed, as one accepted 4.7 s
// after SIGTERM was. A stream that may outlast the daemon is refused, so that another daemon serves
// it.
BOOST_FIXTURE_TEST_CASE(LongStreamIsRefusedWhileStopping, Fixture)
{
    site.signal(daemon, SIGTERM);
    BOOST_REQUIRE(test::waitFor([&] { return !site.isReady(daemon); }));
    const auto call =
        site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation(100, 2000));
    BOOST_TEST(call->response.status == 503);
    BOOST_TEST(call->response.headers.contains("Retry-After"));
    BOOST_TEST(model.ran().isEmpty());
}

// A reload ends no stream.
BOOST_FIXTURE_TEST_CASE(ReloadEndsNothing, Fixture)
{
    model.setGeneration(40, Milliseconds(10));
    auto stream = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return stream->response.body.size() > 100; }));
    site.signal(daemon, SIGHUP);
    BOOST_TEST(test::PlatformSite::finish(stream));
    BOOST_TEST((stream->response.body == test::PlatformSite::events(40)));
    BOOST_TEST(test::waitFor([&] { return site.log(daemon).contains("name=settings.reloaded"); }));
}
