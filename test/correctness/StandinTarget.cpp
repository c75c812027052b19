// The stand-in target over HTTP: tests of the system trust what it says about itself.
#define BOOST_TEST_MODULE StandinTarget
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/FleetClient.h"
#include "support/FleetProcess.h"
#include "support/FleetStream.h"

#include <QJsonArray>
#include <QTemporaryDir>

using namespace cranberry;
using namespace cranberry::test;

namespace {

struct Fixture {
    explicit Fixture(const QStringList &flags = {})
        : process(QStringLiteral("standin-target"),
                  QStringList{QStringLiteral("--port"), QStringLiteral("0"),
                              QStringLiteral("--report_lag_ms"), QStringLiteral("0")}
                      + flags,
                  folder.filePath(QStringLiteral("target")))
    {
        BOOST_REQUIRE(process.waitReady());
        endpoint = {QStringLiteral("127.0.0.1"), process.port("port")};
    }

    std::unique_ptr<FleetStream> complete(const QString &prompt, int maxTokens,
                                          const QByteArray &attempt)
    {
        const QJsonObject body{{QStringLiteral("prompt"), prompt},
                               {QStringLiteral("max_tokens"), maxTokens},
                               {QStringLiteral("stream"), true}};
        return client.post(endpoint, "/v1/completions", body, {{"Cranberry-Attempt", attempt}});
    }

    std::unique_ptr<FleetStream> resume(const QByteArray &attempt, int from)
    {
        QUrlQuery query;
        query.addQueryItem(QStringLiteral("from"), QString::number(from));
        return std::make_unique<FleetStream>(
            client.http(), client.timers(), endpoint,
            HttpRequest{"GET", "/generations/" + attempt, query, {}, {}}, HttpExchangeOptions());
    }

    void setFaults(const QJsonObject &faults)
    {
        BOOST_REQUIRE(client.sendJson(endpoint, "POST", "/faults", faults).is(200));
    }

    QTemporaryDir folder;
    FleetClient client;
    FleetProcess process;
    HttpEndpoint endpoint;
};

struct IgnoringFixture : Fixture {
    IgnoringFixture()
        : Fixture({QStringLiteral("--nocheck_fencing")})
    {
    }
};

const QString LongPrompt = QStringLiteral("a prompt whose answer goes on for a while");

int firstId(const FleetStream &stream)
{
    return stream.answer().tokens().first().id;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(StreamIsWholeAndOfItsPrompt, Fixture)
{
    const auto stream = complete(LongPrompt, 20, "a1");
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->isWhole());
    BOOST_CHECK(checkAnswer(LongPrompt, stream->answer().texts()) == AnswerFault::None);
    const QJsonArray runs = client.get(endpoint, "/runs").json[QLatin1String("runs")].toArray();
    BOOST_TEST(runs.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ResumedStreamGoesOnWithTheSameTokens, Fixture)
{
    const auto first = complete(LongPrompt, 40, "a1");
    BOOST_REQUIRE(first->waitForTokens(3));
    const auto second = resume("a1", 2);
    BOOST_REQUIRE(first->waitOver());
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(firstId(*second) == 2);
    BOOST_CHECK(second->answer().texts() == first->answer().texts().mid(2));
}

BOOST_FIXTURE_TEST_CASE(StalledLinkStaysOpenAndAResumeBringsTheRest, Fixture)
{
    setFaults({{QStringLiteral("stall_after"), 2}});
    const auto stalled = complete(LongPrompt, 40, "a1");
    BOOST_REQUIRE(stalled->waitForTokens(2));
    const auto resumed = resume("a1", 2);
    BOOST_REQUIRE(resumed->waitOver());
    BOOST_TEST(!stalled->isOver());
    BOOST_TEST(stalled->tokenCount() == 2);
    const QList<QByteArray> both = stalled->answer().texts() + resumed->answer().texts();
    BOOST_CHECK(checkAnswer(LongPrompt, both) == AnswerFault::None);
    BOOST_TEST(!resumed->answer().finishReason().isEmpty());
}

BOOST_FIXTURE_TEST_CASE(PromptThatCrashesEndsTheProcess, Fixture)
{
    setFaults({{QStringLiteral("die_on"), QStringLiteral("poison")}});
    const auto other = complete(QStringLiteral("harmless"), 5, "a1");
    BOOST_REQUIRE(other->waitOver());
    const auto stream = complete(QStringLiteral("some poison here"), 5, "a2");
    BOOST_TEST(process.waitEnded());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK(*stream->end() != HttpExchangeEnd::Complete);
}

BOOST_FIXTURE_TEST_CASE(RefusalSaysThatNothingStarted, Fixture)
{
    setFaults({{QStringLiteral("refuse"), true}});
    const auto stream = complete(LongPrompt, 5, "a1");
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->status() == 503);
    BOOST_TEST(stream->json()[QLatin1String("started")].toBool(true) == false);
    const QJsonArray runs = client.get(endpoint, "/runs").json[QLatin1String("runs")].toArray();
    BOOST_TEST(runs.isEmpty());
}

BOOST_FIXTURE_TEST_CASE(ResetBeforeTheAnswerStillRuns, Fixture)
{
    setFaults({{QStringLiteral("reset_before_answer"), 1}});
    const auto stream = complete(LongPrompt, 5, "a1");
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK(*stream->end() == HttpExchangeEnd::Broken);
    const auto runs = [this] {
        return client.get(endpoint, "/runs").json[QLatin1String("runs")].toArray().size();
    };
    BOOST_TEST(waitFor([&] { return runs() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(EventsOfAnotherAttemptAreMixedIn, Fixture)
{
    setFaults({{QStringLiteral("wrong_attempt"), true}});
    const auto stream = complete(LongPrompt, 12, "a1");
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(!stream->answer().idsAreConsecutive());
    BOOST_TEST(stream->response().body.contains("wrong-a1"));
}

BOOST_FIXTURE_TEST_CASE(CancelledBeforeItCameNeverStarts, Fixture)
{
    const FleetAnswer cancel = client.call(endpoint, {"DELETE", "/generations/a1", {}, {}, {}});
    BOOST_TEST(cancel.json[QLatin1String("started")].toBool(true) == false);
    const auto stream = complete(LongPrompt, 5, "a1");
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->status() == 503);
}

BOOST_FIXTURE_TEST_CASE(OldFencingNumberIsRefused, Fixture)
{
    const auto order = [this](const QByteArray &number) {
        return client
            .sendJson(endpoint, "POST", "/orders", {{QStringLiteral("role"), number.constData()}},
                      {{"Fencing-Number", number}})
            .response.status;
    };
    BOOST_TEST(order("5") == 200);
    BOOST_TEST(order("4") == 409);
    BOOST_TEST(order("5") == 200);
}

BOOST_FIXTURE_TEST_CASE(TargetThatIgnoresFencingTakesTheOldOrder, IgnoringFixture)
{
    for (const char *number : {"5", "4"}) {
        const FleetAnswer answer =
            client.sendJson(endpoint, "POST", "/orders", {{QStringLiteral("role"), number}},
                            {{"Fencing-Number", number}});
        BOOST_TEST(answer.response.status == 200);
    }
}
