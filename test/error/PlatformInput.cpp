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

// Guards against a unit that is misread, and against two units of which one is silently ignored.
BOOST_AUTO_TEST_CASE(DurationsHaveOneOfTwoUnits)
{
    const auto graceOf = [](const QByteArray &member) {
        const Result<RelaySettings> read = parseRelaySettings(Good + ", " + member + '}');
        return read ? read.value().grace.count() : -1;
    };
    BOOST_TEST(graceOf(R"("grace_ms": 7500)") == 7500);
    BOOST_TEST(graceOf(R"("grace_ms": 7500.9)") == 7500);
    BOOST_TEST(graceOf(R"("grace_s": 7.5)") == 7500);
    BOOST_TEST(graceOf(R"("grace_s": 1e1)") == 10000);
    BOOST_TEST(graceOf(R"("grace_s": 0.0001)") == 1);
    BOOST_TEST(faultOf(Good + R"(, "grace_s": 8, "grace_ms": 8000})").toStdString()
               == "grace_s: expected nothing beside grace_ms, got 8");
    BOOST_TEST(faultOf(Good + R"(, "grace_s": "8"})").toStdString()
               == "grace_s: expected more than 0, up to 3600, got \"8\"");
    BOOST_TEST(faultOf(Good + R"(, "grace_s": 3600.5})").toStdString()
               == "grace_s: expected more than 0, up to 3600, got 3600.5");
    for (const QByteArray number : {"0", "-1", "3600001", "1e+300", "true", "null"})
        BOOST_TEST(faultOf(Good + R"(, "grace_ms": )" + number + "}").toStdString()
                   == "grace_ms: expected more than 0, up to 3600000, got " + number.toStdString());
}

// A setting of admission control that is ignored or misread would change who is rejected under
// overload, unseen until then.
BOOST_AUTO_TEST_CASE(AdmissionFaultsNamePathAllowedAndFound)
{
    const auto admissionFault = [](const QByteArray &member) {
        return faultOf(Good + ", \"admission\": " + member + '}').toStdString();
    };
    BOOST_TEST(admissionFault("3") == "admission: expected an object, got 3");
    BOOST_TEST(admissionFault("null") == "admission: expected an object, got null");
    for (const std::string name :
         {"order", "early_rejection", "workspace_shares", "observed_speed"}) {
        const QByteArray key = '"' + QByteArray::fromStdString(name) + "\": ";
        BOOST_TEST(admissionFault('{' + key + "\"no\"}")
                   == "admission." + name + ": expected true or false, got \"no\"");
        BOOST_TEST(admissionFault('{' + key + "0}")
                   == "admission." + name + ": expected true or false, got 0");
    }
    BOOST_TEST(admissionFault(R"({"ordre": true})")
               == "admission.ordre: unknown member; remove it or correct its name");
    BOOST_TEST(admissionFault(R"({"workspace_weights": [1]})")
               == "admission.workspace_weights: expected an object, got [1]");
    const std::string range =
        "admission.workspace_weights.b: expected a number from 0.01 to 100, got ";
    for (const std::string weight : {"0.009", "0", "-1", "100.5", "\"2\"", "null"})
        BOOST_TEST(admissionFault(R"({"workspace_weights": {"a": 1, "b": )"
                                  + QByteArray::fromStdString(weight) + "}}")
                   == range + weight);
    BOOST_TEST(admissionFault(R"({"workspace_weights": {"": 2}})")
               == "admission.workspace_weights: expected non-empty names of workspaces, "
                  "got {\"\":2}");
}

BOOST_AUTO_TEST_CASE(AdmissionSettingsAreRead)
{
    const Result<RelaySettings> defaults = parseRelaySettings(Good + "}");
    BOOST_REQUIRE(defaults);
    const AdmissionSettings &whole = defaults.value().admission;
    BOOST_TEST(
        (whole.order && whole.earlyRejection && whole.workspaceShares && whole.observedSpeed));
    BOOST_TEST(whole.weights.isEmpty());
    const Result<RelaySettings> off = parseRelaySettings(Good + R"(, "admission": {"order": false,
        "early_rejection": false, "workspace_shares": false, "observed_speed": false,
        "workspace_weights": {"a": 0.01, "b.c": 100, "d": 2.5}}})");
    BOOST_REQUIRE(off);
    const AdmissionSettings &read = off.value().admission;
    BOOST_TEST(!(read.order || read.earlyRejection || read.workspaceShares || read.observedSpeed));
    BOOST_TEST(read.weights.size() == 3);
    BOOST_TEST(read.weights.value(WorkspaceId("a")) == 0.01);
    BOOST_TEST(read.weights.value(WorkspaceId("b.c")) == 100);
    BOOST_TEST(read.weights.value(WorkspaceId("d")) == 2.5);
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
