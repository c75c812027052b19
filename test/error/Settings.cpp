// Every wrong setting gives one line that names the path, what is allowed and what was found.
#define BOOST_TEST_MODULE Settings
#include <boost/test/unit_test.hpp>

#include "daemon/DaemonSettings.h"

using namespace cranberry;

namespace {

const QByteArray Valid = R"({"vm":"vm1","data_centre":"dc1",
    "gateway":{"address":"127.0.0.1","port":0},"peer":{"address":"127.0.0.1","port":0},
    "platform":{"url":"http://127.0.0.1:9000"},"operator_token_file":"token",
    "log":{"level":"warning"},"limits":{"workers":2}})";

std::string faultOf(QByteArray text, const QByteArray &from, const QByteArray &to)
{
    BOOST_REQUIRE(text.contains(from));
    const Result<DaemonSettings> settings = parseSettings(text.replace(from, to));
    return settings ? std::string("accepted") : settings.error().detail.toStdString();
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead)
{
    const Result<DaemonSettings> settings = parseSettings(Valid);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings.value().vm.text().toStdString() == "vm1");
    BOOST_TEST(settings.value().platform.port == 9000);
    BOOST_TEST(settings.value().workers == 2);
    BOOST_CHECK(settings.value().logLevel == LogLevel::Warning);
}

BOOST_AUTO_TEST_CASE(FaultsNamePathAllowedAndFound)
{
    BOOST_TEST(faultOf(Valid, "\"port\":0},\"peer\"", "\"port\":\"x\"},\"peer\"")
               == "gateway.port: expected 0..65535, got \"x\"");
    BOOST_TEST(faultOf(Valid, "\"vm\":\"vm1\"", "\"vm\":\"\"")
               == "vm: expected a non-empty string, got \"\"");
    BOOST_TEST(
        faultOf(Valid, "http://127.0.0.1:9000", "ftp://x")
        == "platform.url: expected \"http://ADDRESS:PORT\" with an IP number, got \"ftp://x\"");
    BOOST_TEST(faultOf(Valid, "\"warning\"", "\"loud\"")
               == "log.level: expected debug, info, warning or error, got \"loud\"");
    BOOST_TEST(faultOf(Valid, "\"workers\":2", "\"workers\":0")
               == "limits.workers: expected 1..64, got 0");
    BOOST_TEST(faultOf(Valid, "\"workers\":2", "\"workres\":2")
               == "limits.workres: unknown member; remove it or correct its name");
    BOOST_TEST(faultOf(Valid, "\"operator_token_file\":\"token\",", "")
               == "operator_token_file: expected a non-empty string, got nothing");
}

BOOST_AUTO_TEST_CASE(BrokenJsonNamesTheByte)
{
    BOOST_TEST(parseSettings("{\"vm\":")
                   .error()
                   .detail.startsWith(QLatin1String("settings: not a JSON object (byte ")));
    BOOST_TEST(!parseSettings("[]"));
}
