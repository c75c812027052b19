// Bad input at a running daemon: each fault gets a clear answer and touches no target.
#define BOOST_TEST_MODULE WholePath
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpSocket>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int BodyLimit = 64 * 1024;
constexpr int UnreadLimit = 32 * 1024;
/// More than the buffers of a local connection hold.
constexpr int LongAnswer = 100'000;

FleetPlan smallPlan()
{
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = 1;
    plan.engineFlags = {
        QStringLiteral("--capacity_tokens=200000"), QStringLiteral("--length_median=90000"),
        QStringLiteral("--length_sigma=0.01"), QStringLiteral("--step_base_ms=0.05"),
        QStringLiteral("--step_per_stream_ms=0.01")};
    plan.daemonSettings = {{QStringLiteral("limits"),
                            QJsonObject{{QStringLiteral("body_bytes"), BodyLimit},
                                        {QStringLiteral("unread_answer_bytes"), UnreadLimit}}}};
    return plan;
}

/// What was answered, as "status kind ran field".
std::string shown(const FleetAnswer &answer)
{
    const auto text = [&answer](const char *name) {
        return answer.json[QLatin1String(name)].toString().toStdString();
    };
    return std::to_string(answer.response.status) + ' ' + text("kind") + ' ' + text("ran") + ' '
        + text("field");
}

struct Fixture {
    Fixture()
        : fleet(smallPlan())
    {
        BOOST_REQUIRE(fleet.start());
    }

    FleetAnswer post(const QByteArray &body, HttpHeaders headers,
                     const QByteArray &path = "/v1/completions")
    {
        headers.add("Content-Type", "application/json");
        return fleet.client().call(fleet.gateway(0), {"POST", path, {}, headers, body});
    }

    std::string answerTo(const QByteArray &body) { return shown(post(body, fleet.caller())); }

    int runCount()
    {
        return int(fleet.runs(fleet.engineEndpoint(0))[QLatin1String("runs")].toArray().size());
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(BodiesThatAreNoRequest, Fixture)
{
    BOOST_TEST(answerTo("{\"model\":\"m1\",") == "400 bad_request no body");
    BOOST_TEST(answerTo("[1,2]") == "400 bad_request no body");
    BOOST_TEST(answerTo("") == "400 bad_request no body");
    BOOST_TEST(answerTo("{\"model\":7,\"prompt\":\"a\"}") == "400 bad_request no model");
    BOOST_TEST(answerTo("{\"model\":\"m1\"}") == "400 bad_request no prompt");
    BOOST_TEST(answerTo("{\"model\":\"m1\",\"prompt\":[1]}") == "400 bad_request no prompt");
    BOOST_TEST(answerTo("{\"model\":\"m1\",\"prompt\":\"a\",\"max_tokens\":-1}")
               == "400 bad_request no max_tokens");
    BOOST_TEST(answerTo("{\"model\":\"m1\",\"prompt\":\"a\",\"max_tokens\":\"many\"}")
               == "400 bad_request no max_tokens");
    BOOST_TEST(answerTo("{\"model\":\"m1\",\"prompt\":\"a\",\"stream\":\"yes\"}")
               == "400 bad_request no stream");
    BOOST_TEST(answerTo("{\"model\":\"other\",\"prompt\":\"a\"}") == "404 unknown_model no model");
    BOOST_TEST(runCount() == 0);
}

BOOST_FIXTURE_TEST_CASE(KeysThatOpenNothing, Fixture)
{
    const QByteArray body = "{\"model\":\"m1\",\"prompt\":\"a\",\"max_tokens\":1}";
    const auto answerWith = [&](const HttpHeaders &headers) { return shown(post(body, headers)); };
    BOOST_TEST(answerWith({}).substr(0, 19) == "401 unauthorized no");
    BOOST_TEST(answerWith({{"Authorization", "Bearer key-of-nobody"}}).substr(0, 19)
               == "401 unauthorized no");
    BOOST_TEST(answerWith({{"Authorization", "Basic a2V5"}}).substr(0, 19)
               == "401 unauthorized no");
    BOOST_TEST(answerWith(fleet.operatorHeaders()).substr(0, 19) == "401 unauthorized no");
    BOOST_TEST(runCount() == 0);
}

BOOST_FIXTURE_TEST_CASE(HeadersOutOfRange, Fixture)
{
    const QByteArray body = "{\"model\":\"m1\",\"prompt\":\"a\",\"max_tokens\":1}";
    const auto answerWith = [&](const QByteArray &name, const QByteArray &value) {
        HttpHeaders headers = fleet.caller();
        headers.add(name, value);
        return shown(post(body, headers));
    };
    BOOST_TEST(answerWith("Cranberry-Deadline-Ms", "soon")
               == "400 bad_header no Cranberry-Deadline-Ms");
    BOOST_TEST(answerWith("Cranberry-Deadline-Ms", "0")
               == "400 bad_header no Cranberry-Deadline-Ms");
    BOOST_TEST(answerWith("Cranberry-Priority", "10") == "400 bad_header no Cranberry-Priority");
    BOOST_TEST(answerWith("Cranberry-Idempotent", "perhaps")
               == "400 bad_header no Cranberry-Idempotent");
    BOOST_TEST(answerWith("Idempotency-Key", QByteArray(300, 'k'))
               == "400 bad_header no Idempotency-Key");
    BOOST_TEST(runCount() == 0);
}

BOOST_FIXTURE_TEST_CASE(BodyOverTheLimit, Fixture)
{
    const QByteArray body =
        "{\"model\":\"m1\",\"prompt\":\"" + QByteArray(2 * BodyLimit, 'a') + "\"}";
    const FleetAnswer answer = post(body, fleet.caller());
    BOOST_TEST(shown(answer).substr(0, 21) == "413 body_too_large no");
    BOOST_TEST(runCount() == 0);
    BOOST_TEST(fleet.client().get(fleet.gateway(0), "/readyz").is(200));
}

BOOST_FIXTURE_TEST_CASE(CallerThatDoesNotRead, Fixture)
{
    // One caller asks for a long answer and does not read it. What is queued for it stays
    // bounded, it is told why its answer ends, and the engine does not go on for nobody.
    QJsonObject document = fleet.document();
    QJsonObject models = document[QLatin1String("models")].toObject();
    QJsonObject model = models[QLatin1String("m1")].toObject();
    model.insert(QStringLiteral("max_tokens"), LongAnswer);
    models.insert(QStringLiteral("m1"), model);
    document.insert(QStringLiteral("models"), models);
    BOOST_REQUIRE(fleet.apply(document) > 0);
    QTcpSocket socket;
    socket.setReadBufferSize(4096);
    socket.connectToHost(QStringLiteral("127.0.0.1"), fleet.gateway(0).port);
    const QByteArray body =
        "{\"model\":\"m1\",\"prompt\":\"long\",\"max_tokens\":100000,\"stream\":true}";
    socket.write("POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-w0\r\n"
                 "Content-Type: application/json\r\nContent-Length: "
                 + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    const bool running = waitFor([&] { return runCount() == 1; });
    BOOST_REQUIRE_MESSAGE(running, socket.readAll().constData());
    BOOST_REQUIRE(waitFor([&] { return fleet.log(0).contains("kind=reader_too_slow"); },
                          std::chrono::seconds(60)));
    BOOST_REQUIRE(waitFor([&] {
        const QJsonObject report = fleet.client().get(fleet.engineEndpoint(0), "/load").json;
        return report[QLatin1String("running")].toInt(1) == 0;
    }));
    BOOST_TEST(fleet.client().get(fleet.gateway(0), "/readyz").is(200));
}

BOOST_FIXTURE_TEST_CASE(PortInUseAtTheStart, Fixture)
{
    // An operator starts a second daemon beside a running one. It says which setting is at
    // fault and ends; the running one is not touched.
    QFile settings(fleet.folder() + QStringLiteral("/vm0.json"));
    BOOST_REQUIRE(settings.open(QIODevice::ReadOnly));
    QJsonObject object = QJsonDocument::fromJson(settings.readAll()).object();
    QJsonObject gateway = object[QLatin1String("gateway")].toObject();
    gateway.insert(QStringLiteral("port"), fleet.gateway(0).port);
    object.insert(QStringLiteral("gateway"), gateway);
    const QString name = fleet.folder() + QStringLiteral("/second.json");
    QFile second(name);
    BOOST_REQUIRE(second.open(QIODevice::WriteOnly));
    second.write(QJsonDocument(object).toJson());
    second.close();
    FleetProcess daemon(QStringLiteral("cranberryd"), {QStringLiteral("--settings"), name},
                        fleet.folder() + QStringLiteral("/second"));
    BOOST_REQUIRE(daemon.waitEnded());
    BOOST_TEST(daemon.exitCode() == 2);
    const QByteArray port = QByteArray::number(fleet.gateway(0).port);
    BOOST_CHECK_MESSAGE(daemon.errorOutput().contains("gateway")
                            && daemon.errorOutput().contains(port),
                        daemon.errorOutput().constData());
    BOOST_TEST(fleet.client().get(fleet.gateway(0), "/readyz").is(200));
}

BOOST_FIXTURE_TEST_CASE(PlatformUnreachableAtTheStart, Fixture)
{
    // A VM is replaced during an outage of the platform and knows no peer. It must neither
    // serve without a configuration nor die; once the platform is back it is ready by itself.
    BOOST_REQUIRE(fleet.setFaults(fleet.platformEndpoint(), {{QStringLiteral("down"), true}}));
    fleet.daemon(0).kill();
    const int daemon = fleet.addDaemon();
    BOOST_REQUIRE(daemon == 1);
    const HttpEndpoint gateway = fleet.gateway(daemon);
    BOOST_TEST(fleet.client().get(gateway, "/healthz").is(200));
    BOOST_TEST(fleet.client().get(gateway, "/readyz").is(503));
    const FleetAnswer refused =
        fleet.client().sendJson(gateway, "POST", "/v1/completions",
                                {{QStringLiteral("model"), QStringLiteral("m1")}}, fleet.caller());
    BOOST_TEST(shown(refused).substr(0, 16) == "503 not_ready no");
    BOOST_TEST(!refused.response.headers.value("Retry-After").isEmpty());
    BOOST_REQUIRE(fleet.setFaults(fleet.platformEndpoint(), {{QStringLiteral("down"), false}}));
    BOOST_REQUIRE(waitFor([&] { return fleet.client().get(gateway, "/readyz").is(200); },
                          std::chrono::seconds(60)));
}
