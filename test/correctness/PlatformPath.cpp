// Requests of the users' platform through a real daemon, with stand-ins of store and runners.
#define BOOST_TEST_MODULE PlatformPath
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

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

BOOST_FIXTURE_TEST_CASE(PlainAnswerComesBackUnchanged, Fixture)
{
    const auto call = site.call(daemon, "POST", "/unsafe/a?b=%20c", "r1");
    BOOST_TEST(call->response.status == 200);
    BOOST_TEST((call->response.body == "answer to body of r1"));
    BOOST_TEST((call->response.headers.value("Cranberryquay-Response-Seal") == "seal-plain-1"));
    BOOST_REQUIRE_EQUAL(plain.ran().size(), 1);
    BOOST_TEST((plain.ran().first().path == "/unsafe/a?b=%20c"));
    BOOST_TEST((plain.ran().first().body == "body of r1"));
}

BOOST_FIXTURE_TEST_CASE(RunnerLearnsTenantAndDeadlineButNotTheKey, Fixture)
{
    site.call(daemon, "GET", "/safe/a", "r1",
              {{"Cranberryquay-Tenant", "another"}, {"Kv-From", "1.2.3.4:5/x"}});
    BOOST_REQUIRE_EQUAL(plain.ran().size(), 1);
    const HttpHeaders &headers = plain.ran().first().headers;
    BOOST_TEST((headers.value("Cranberryquay-Tenant") == "house"));
    BOOST_TEST(!headers.contains("Authorization"));
    BOOST_TEST(!headers.contains("Kv-From"));
    BOOST_TEST((headers.value("Cranberryquay-Expect-Instance") == "plain-1"));
    const int left = headers.value("Cranberryquay-Deadline-Ms").toInt();
    BOOST_TEST(left > 0);
    BOOST_TEST(left <= 15000);
}

BOOST_FIXTURE_TEST_CASE(StreamComesWhole, Fixture)
{
    model.setGeneration(20, Milliseconds(2));
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST(call->response.status == 200);
    BOOST_TEST((call->response.body == test::PlatformSite::events(20)));
}

BOOST_FIXTURE_TEST_CASE(UnknownRouteAndKeyAreTold, Fixture)
{
    BOOST_TEST(site.call(daemon, "GET", "/nowhere/a", "r1")->response.status == 404);
    BOOST_TEST(site.callWithKey(daemon, "/safe/a", "r2", "stolen")->response.status == 401);
    BOOST_TEST(plain.ran().isEmpty());
    site.configure(2, true);
    BOOST_TEST(test::waitFor(
        [&] { return site.call(daemon, "GET", "/extra/a", "r3")->response.status == 200; }));
}

BOOST_FIXTURE_TEST_CASE(AnOlderVersionIsNotTakenBack, Fixture)
{
    site.configure(3, true);
    BOOST_TEST(test::waitFor(
        [&] { return site.call(daemon, "GET", "/extra/a", "r1")->response.status == 200; }));
    site.configure(2, false);
    site.call(daemon, "GET", "/safe/a", "r2");
    BOOST_TEST(site.call(daemon, "GET", "/extra/a", "r3")->response.status == 200);
}
