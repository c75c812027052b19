// Numbers with fractions in what the operator and targets write.
#define BOOST_TEST_MODULE FractionalDocuments
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

using namespace cranberry;
using namespace std::chrono_literals;

// Guards against a split of 0.5 and 0.5 that is read as 0 and 0, so that one service gets all.
BOOST_AUTO_TEST_CASE(SplitByFractionsReachesBothServices)
{
    test::PlatformSite site;
    standin::RunnerEmulator &left = site.addRunner("left-1", "left");
    standin::RunnerEmulator &right = site.addRunner("right-1", "right");
    const QJsonObject route{{"name", "split"},
                            {"host", "site.example"},
                            {"prefix", "/split/"},
                            {"kind", "safe"},
                            {"timeoutMs", 20000},
                            {"aimMs", 2000},
                            {"maxAttempts", 2},
                            {"trafficSplit",
                             QJsonArray{QJsonObject{{"service", "left"}, {"weight", 0.5}},
                                        QJsonObject{{"service", "right"}, {"weight", 0.5}}}}};
    const QJsonObject configuration{
        {"version", 1},
        {"routes", QJsonArray{route}},
        {"services", QJsonArray{QJsonObject{{"name", "left"}}, QJsonObject{{"name", "right"}}}},
        {"limits", QJsonObject{{"maxHeaderBytes", 4096}, {"maxBodyBytes", 10000}}},
        {"tenants", QJsonArray{QJsonObject{{"name", "house"}, {"apiKeys", QJsonArray{"key"}}}}}};
    site.store().put(QStringLiteral("op/config"),
                     QJsonDocument(configuration).toJson(QJsonDocument::Compact));
    const int daemon = site.startDaemon();
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(
            site.call(daemon, "GET", "/split/a", "r" + QByteArray::number(i))->response.status
            == 200);
    BOOST_TEST(left.ran().size() > 5);
    BOOST_TEST(right.ran().size() > 5);
}

// Guards against a notice of 1,500.5 ms that is read as 0, so that generations are moved at once.
BOOST_AUTO_TEST_CASE(NoticeWithAFractionKeepsItsTime)
{
    test::PlatformSite site;
    standin::RunnerEmulator &model = site.addRunner("model-1", "model");
    model.setGeneration(200, 20ms);
    model.setOverridesReports(true);
    model.setOverride([](const HttpRequest &request, const standin::RunnerEmulator::Reply &reply) {
        if (request.path != "/v1/report")
            return false;
        const QJsonObject report{{"queued", 0},       {"running", 1},        {"kvUsed", 0},
                                 {"kvTotal", 100000}, {"state", "draining"}, {"leaves_ms", 1500.5}};
        reply->send({200, {}, QJsonDocument(report).toJson(QJsonDocument::Compact)});
        return true;
    });
    site.configure(1);
    const int daemon = site.startDaemon();
    const auto stream =
        site.send(daemon, "POST", "/model/a", "s1", test::PlatformSite::generation());
    BOOST_TEST(test::waitFor([&] { return site.log(daemon).contains(" leaves_in_ms="); }));
    BOOST_TEST(site.log(daemon).contains(" leaves_in_ms=1500"));
}
