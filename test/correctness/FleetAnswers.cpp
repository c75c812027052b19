// The whole path with real processes: platform, two engines, a plain service, two daemons.
#define BOOST_TEST_MODULE FleetAnswers
#include <boost/test/unit_test.hpp>

#include "support/ExpectedText.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

FleetPlan smallPlan()
{
    FleetPlan plan;
    plan.plainServices = 1;
    return plan;
}

struct Fixture {
    Fixture()
        : fleet(smallPlan())
    {
        BOOST_REQUIRE(fleet.start());
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(EachDaemonAnswersWholeAndFromOneGeneration, Fixture)
{
    for (int daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
        const QString prompt = QStringLiteral("bulletin through vm%1").arg(daemon);
        const auto stream = fleet.complete(daemon, prompt, 30, fleet.caller());
        BOOST_REQUIRE(stream->waitOver());
        BOOST_CHECK_MESSAGE(stream->isWhole(), stream->response().body.constData());
        BOOST_CHECK(checkAnswer(prompt, stream->answer().texts()) == AnswerFault::None);
        BOOST_TEST(fleet.runsOf(prompt) == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(PlainServiceIsReached, Fixture)
{
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Idempotent", "yes");
    const FleetAnswer answer = fleet.client().sendJson(
        fleet.gateway(0), "POST", "/services/status/lookup", {{QStringLiteral("a"), 1}}, headers);
    BOOST_CHECK_MESSAGE(answer.is(200), answer.response.body.constData());
    BOOST_CHECK(answer.json[QLatin1String("prompt_hash")].toString().toUtf8()
                == promptHash(QStringLiteral("{\"a\":1}")));
}

BOOST_FIXTURE_TEST_CASE(ChangedDocumentIsInForceInEveryDaemon, Fixture)
{
    QJsonObject document = fleet.document();
    QJsonObject models = document[QLatin1String("models")].toObject();
    models.insert(QStringLiteral("m2"),
                  QJsonObject{{QStringLiteral("service"), QStringLiteral("drafts")},
                              {QStringLiteral("version"), QStringLiteral("1")}});
    document.insert(QStringLiteral("models"), models);
    BOOST_TEST(fleet.apply(document) == 2);
    BOOST_TEST(fleet.versionOf(0) == 2);
    BOOST_TEST(fleet.versionOf(1) == 2);
}
