// Operators' requests that cannot be met: each is told what is wrong with it.
#define BOOST_TEST_MODULE OperatorRequests
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/JsonText.h"
#include "support/OperatorServer.h"

using namespace cranberry;
using cranberry::test::jsonObject;
using cranberry::test::OperatorServer;
using cranberry::test::smallDocument;

namespace {

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        server.emplace("vm1", table);
    }

    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    std::optional<OperatorServer> server;
};

std::string kindOf(const HttpResponse &response)
{
    return jsonObject(response.body)["kind"].toString().toStdString();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(WithoutTheTokenNothingIsShown, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    const QList<HttpHeaders> wrong{{},
                                   {{"Authorization", "Bearer wrong"}},
                                   {{"Authorization", "Bearer "}},
                                   {{"Authorization", OperatorServer::Token}},
                                   {{"Authorization", "Basic " + OperatorServer::Token}},
                                   {{"Authorization", "Bearer " + OperatorServer::Token + "x"}}};
    for (const HttpHeaders &headers : wrong) {
        for (const char *path : {"/v1/configuration", "/v1/status"}) {
            const HttpResponse refused = server->call("GET", path, {}, headers);
            BOOST_TEST(refused.status == 401);
            BOOST_TEST(kindOf(refused) == "unauthorized");
            BOOST_TEST(refused.headers.contains("WWW-Authenticate"));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(EmptyTokenOfADaemonAdmitsNobody, Fixture)
{
    OperatorApi api(VmId("vm1"), {}, server->daemon.store, server->daemon.workers, {});
    QtTimerService timers;
    HttpServer open(
        timers, HttpServerLimits(),
        [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            api.handle(request, responder);
        });
    const HttpEndpoint endpoint{"127.0.0.1", open.listenOn(QHostAddress::LocalHost, 0).value()};
    HttpClient client(timers);
    int status = 0;
    const auto exchange = client.fetch(
        endpoint, {"GET", "/v1/status", {}, {{"Authorization", "Bearer "}}, {}}, {},
        [&](HttpExchangeEnd, const HttpResponse &response) { status = response.status; });
    BOOST_REQUIRE(test::waitFor([&] { return status != 0; }));
    BOOST_TEST(status == 401);
}

BOOST_FIXTURE_TEST_CASE(BeforeAConfigurationCameItIsNotReady, Fixture)
{
    const HttpResponse refused = server->call("GET", "/v1/configuration");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(kindOf(refused) == "not_ready");
    const QJsonObject status = jsonObject(server->call("GET", "/v1/status").body);
    BOOST_TEST(!status["ready"].toBool());
    BOOST_TEST(status["configuration_version"].isNull());
}

BOOST_FIXTURE_TEST_CASE(PutWithoutAVersionIsRefused, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    for (const char *value : {"", "*", "abc", "\"-1\"", "\"1", "W/\"1\""}) {
        const HttpResponse refused = server->call(
            "PUT", "/v1/configuration", "{}",
            {{"Authorization", "Bearer " + OperatorServer::Token}, {"If-Match", value}});
        BOOST_TEST(refused.status == 400, value);
        BOOST_TEST(jsonObject(refused.body)["field"].toString().toStdString() == "If-Match");
    }
}

BOOST_FIXTURE_TEST_CASE(BodyThatIsNoJsonObjectIsRefusedWithThePlace, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    for (const char *body : {"", "{", "[1]", "\"x\"", "{\"services\": }"}) {
        const HttpResponse refused = server->call(
            "PUT", "/v1/configuration", body,
            {{"Authorization", "Bearer " + OperatorServer::Token}, {"If-Match", "\"0\""}});
        BOOST_TEST(refused.status == 400, body);
        BOOST_TEST(kindOf(refused) == "bad_request");
        BOOST_TEST(server->call("POST", "/v1/configuration/validate", body).status == 400, body);
    }
}

BOOST_FIXTURE_TEST_CASE(FaultyDocumentIsRefusedWithAllItsFaults, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    const HttpResponse refused = server->put(0, jsonObject(R"({"services": 1, "x": 2})"));
    BOOST_TEST(refused.status == 422);
    const QJsonArray faults = jsonObject(refused.body)["faults"].toArray();
    BOOST_REQUIRE(faults.size() == 2);
    BOOST_TEST(faults.first().toObject()["path"].toString().toStdString() == "services");
    BOOST_TEST(!faults.first().toObject()["message"].toString().isEmpty());
    BOOST_TEST(table->writes == 0);
}

BOOST_FIXTURE_TEST_CASE(PlatformThatIsDownRefusesTheChangeForLater, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    server->daemon.platform.isDown = true;
    const HttpResponse refused = server->put(0, smallDocument(1));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.headers.value("Cranberry-Ran").toStdString() == "no");
    BOOST_TEST(refused.headers.contains("Retry-After"));
}

BOOST_FIXTURE_TEST_CASE(OtherMethodsAreRefusedAndOtherPathsLeftToOthers, Fixture)
{
    BOOST_REQUIRE(server->daemon.load());
    BOOST_TEST(server->call("DELETE", "/v1/configuration").status == 400);
    BOOST_TEST(server->call("GET", "/v1/configuration/validate").status == 400);
    BOOST_TEST(server->call("POST", "/v1/status").status == 400);
    BOOST_TEST(server->call("GET", "/v1/models").status == 404);
}
