// Callers and settings that are out of bounds.
#define BOOST_TEST_MODULE PlatformInput
#include <boost/test/unit_test.hpp>

#include "relay/RelaySettings.h"
#include "support/PlatformSite.h"

using namespace cranberry;

namespace {

QString faultOf(const QByteArray &json)
{
    const Result<RelaySettings> read = parseRelaySettings(json);
    return read ? QString() : read.error().detail;
}

const QByteArray Good = R"({"vm": "a", "data_centre": "b", "callers": "127.0.0.1:1",
    "readiness": "127.0.0.1:2", "peer": "127.0.0.1:3", "store": "127.0.0.1:4")";

} // namespace

BOOST_AUTO_TEST_CASE(SettingsNameTheFieldAtFault)
{
    BOOST_TEST(faultOf(Good + "}").isEmpty());
    BOOST_TEST(faultOf("{").contains("not a JSON object"));
    BOOST_TEST(faultOf(R"({"vm": "a"})").contains("data_centre"));
    BOOST_TEST(faultOf(Good + R"(, "store": "here"})").contains("store"));
    BOOST_TEST(faultOf(Good + R"(, "retries": {"ratio": 7}})").contains("retries.ratio"));
    BOOST_TEST(faultOf(Good + R"(, "grace_ms": "long"})").contains("grace_ms"));
    BOOST_TEST(faultOf(Good + R"(, "max_answer_bytes": 0})").contains("max_answer_bytes"));
    BOOST_TEST(faultOf(Good + R"(, "unknown": 1})").contains("unknown"));
}

BOOST_AUTO_TEST_CASE(RequestsOverTheLimitsAreNotSentOn)
{
    test::PlatformSite site;
    standin::RunnerEmulator &plain = site.addRunner("plain-1", "plain");
    site.configure(1);
    const int daemon = site.startDaemon();
    const auto headers =
        site.call(daemon, "GET", "/safe/a", "r1", {{"X-Long", QByteArray(8000, 'x')}});
    BOOST_TEST(headers->response.status == 431);
    const auto body = site.callWithBody(daemon, "/unsafe/a", "r2", QByteArray(20000, 'x'));
    BOOST_TEST(body->response.status == 413);
    const auto framing =
        site.call(daemon, "POST", "/unsafe/a", "r3", {{"Transfer-Encoding", "chunked"}});
    BOOST_TEST(framing->response.status == 400);
    BOOST_TEST(plain.ran().isEmpty());
}
