// The operators' paths: reading, changing and validating the configuration, and the status.
#define BOOST_TEST_MODULE OperatorApi
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/JsonText.h"
#include "support/OperatorServer.h"

using namespace cranberry;
using cranberry::test::jsonObject;
using cranberry::test::smallDocument;

namespace {

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        server.emplace("vm1", table);
        server->daemon.load();
    }

    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    std::optional<test::OperatorServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(DocumentIsShownWithItsVersionAsETag, Fixture)
{
    const HttpResponse empty = server->call("GET", "/v1/configuration");
    BOOST_TEST(empty.status == 200);
    BOOST_TEST(empty.headers.value("ETag").toStdString() == "\"0\"");
    const HttpResponse accepted = server->put(0, smallDocument(3));
    BOOST_TEST(accepted.status == 200);
    BOOST_TEST(accepted.headers.value("ETag").toStdString() == "\"1\"");
    BOOST_TEST(jsonObject(accepted.body)["version"].toInteger() == 1);
    const HttpResponse shown = server->call("GET", "/v1/configuration");
    BOOST_TEST(shown.headers.value("ETag").toStdString() == "\"1\"");
    BOOST_CHECK(jsonObject(shown.body) == smallDocument(3));
}

BOOST_FIXTURE_TEST_CASE(LoserOfARaceIsShownThePresentVersionAndTheChanges, Fixture)
{
    BOOST_REQUIRE(server->put(0, smallDocument(3)).status == 200);
    BOOST_REQUIRE(server->put(1, smallDocument(4)).status == 200);
    const HttpResponse refused = server->put(1, smallDocument(5));
    BOOST_TEST(refused.status == 412);
    BOOST_TEST(refused.headers.value("ETag").toStdString() == "\"2\"");
    const QJsonObject problem = jsonObject(refused.body);
    BOOST_TEST(problem["kind"].toString().toStdString() == "version_conflict");
    BOOST_TEST(problem["version"].toInteger() == 2);
    const QJsonArray changes = problem["changes"].toArray();
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_CHECK(changes.first().toObject()["patch"].toObject()
                == jsonObject(R"({"models": {"m": {"max_tokens": 4}}})"));
}

BOOST_FIXTURE_TEST_CASE(ValidateSaysWhatPutWouldAndChangesNothing, Fixture)
{
    const HttpResponse good = server->call("POST", "/v1/configuration/validate",
                                           QJsonDocument(smallDocument(1)).toJson());
    BOOST_TEST(good.status == 200);
    BOOST_TEST(jsonObject(good.body)["valid"].toBool());
    const HttpResponse wrong =
        server->call("POST", "/v1/configuration/validate", R"({"services": 1, "x": 2})");
    BOOST_TEST(!jsonObject(wrong.body)["valid"].toBool());
    BOOST_TEST(jsonObject(wrong.body)["faults"].toArray().size() == 2);
    BOOST_TEST(table->writes == 0);
}

BOOST_FIXTURE_TEST_CASE(StatusNamesTheVersionInForceAndTheMembers, Fixture)
{
    server->members = {QJsonObject{{"vm", "vm1"}}};
    BOOST_REQUIRE(server->put(0, smallDocument(3)).status == 200);
    const QJsonObject status = jsonObject(server->call("GET", "/v1/status").body);
    BOOST_TEST(status["vm"].toString().toStdString() == "vm1");
    BOOST_TEST(status["ready"].toBool());
    BOOST_TEST(status["configuration_version"].toInteger() == 1);
    BOOST_TEST(status["members"].toArray().size() == 1);
    BOOST_TEST(status["targets"].isArray());
    BOOST_TEST(status["quarantine"].isArray());
}

BOOST_FIXTURE_TEST_CASE(ConsoleFilesNeedNoTokenAndCarryAPolicy, Fixture)
{
    for (const char *path :
         {"/console", "/console/console.js", "/console/console.css", "/console/forms.js",
          "/console/document.js", "/console/api.js", "/console/elements.js", "/console/review.js",
          "/console/status.js", "/console/schema.json"}) {
        const HttpResponse page = server->call("GET", path, {}, {});
        BOOST_TEST(page.status == 200, path);
        BOOST_TEST(page.headers.value("Content-Security-Policy").contains("default-src 'none'"));
        BOOST_TEST(!page.body.isEmpty());
    }
    BOOST_TEST(server->call("GET", "/console/nothing", {}, {}).status == 404);
}
