// Every caller gets its own whole answer, once, in order and of one generation.
#define BOOST_TEST_MODULE StreamsSurvive
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QJsonArray>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int ManyStreams = 500;
constexpr int TokensOfEach = 40;
constexpr int DealtStreams = 8;

FleetPlan planOf(int engines)
{
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = engines;
    plan.engineFlags = {QStringLiteral("--capacity_tokens=65536"),
                        QStringLiteral("--max_batch=160")};
    plan.daemonSettings = {{QStringLiteral("limits"),
                            QJsonObject{{QStringLiteral("load_poll_ms"), 100},
                                        {QStringLiteral("stall_floor_ms"), 200},
                                        {QStringLiteral("stall_ceiling_ms"), 400}}}};
    return plan;
}

/// The whole own answer: numbered from 0, of one generation, as long as the engine makes it.
bool isOwnWholeAnswer(const QString &prompt, const FleetStream &stream, int maxTokens)
{
    const int length = answerLength(AnswerLengths(), promptHash(prompt), maxTokens);
    return stream.isWhole() && stream.tokenCount() == length
        && checkAnswer(prompt, stream.answer().texts()) == AnswerFault::None;
}

/// A prompt whose answer has @p tokens tokens, the bound.
QString longPrompt(const QString &start, int tokens)
{
    for (int i = 0;; ++i) {
        QString prompt = start + QString::number(i);
        if (answerLength(AnswerLengths(), promptHash(prompt), tokens) == tokens)
            return prompt;
    }
}

/// The engine that runs @p prompt, or -1.
int engineOf(Fleet &fleet, const QString &prompt)
{
    const QString hash = QString::fromUtf8(promptHash(prompt));
    for (int i = 0; i < fleet.engineCount(); ++i) {
        const QJsonArray runs =
            fleet.runs(fleet.engineEndpoint(i)).value(QLatin1String("runs")).toArray();
        for (const QJsonValue run : runs) {
            if (run[QLatin1String("prompt_hash")].toString() == hash)
                return i;
        }
    }
    return -1;
}

bool setAll(Fleet &fleet, const QJsonObject &faults)
{
    bool taken = true;
    for (int i = 0; i < fleet.engineCount(); ++i)
        taken = fleet.setFaults(fleet.engineEndpoint(i), faults) && taken;
    return taken;
}

} // namespace

BOOST_AUTO_TEST_CASE(FiveHundredStreamsAtOnce)
{
    // Two bulletins would be mixed, or one would lose a line, if streams that share a daemon
    // and its engines were ever crossed. Two workspaces with 250 streams each are open at once.
    Fleet fleet(planOf(4));
    BOOST_REQUIRE(fleet.start());
    struct Sent {
        QString prompt;
        std::unique_ptr<FleetStream> stream;
    };
    std::vector<Sent> sent;
    for (int i = 0; i < ManyStreams; ++i) {
        const QString prompt =
            QStringLiteral("bulletin of workspace %1, part %2").arg(i % 2).arg(i);
        sent.push_back({prompt, fleet.complete(0, prompt, TokensOfEach, fleet.caller(i % 2))});
    }
    int whole = 0;
    int tokens = 0;
    for (const Sent &request : sent) {
        BOOST_REQUIRE(request.stream->waitOver());
        const bool own = isOwnWholeAnswer(request.prompt, *request.stream, TokensOfEach);
        BOOST_CHECK_MESSAGE(own,
                            request.prompt.toStdString()
                                + request.stream->response().body.right(400).toStdString());
        whole += own ? 1 : 0;
        tokens += request.stream->tokenCount();
    }
    BOOST_TEST_MESSAGE(whole << " of " << sent.size() << " answers whole, " << tokens << " tokens");
    int runs = 0;
    for (int i = 0; i < fleet.engineCount(); ++i)
        runs += int(fleet.runs(fleet.engineEndpoint(i))[QLatin1String("runs")].toArray().size());
    BOOST_TEST(runs == ManyStreams);
}

BOOST_AUTO_TEST_CASE(LinkThatStallsIsResumed)
{
    // A draft stands still for ever and the bulletin misses the morning: the link to the engine
    // went silent without closing, and no side sees an error.
    Fleet fleet(planOf(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("stall_after"), 7}}));
    const QString prompt = longPrompt(QStringLiteral("stalled draft "), TokensOfEach);
    const auto stream = fleet.complete(0, prompt, TokensOfEach, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isOwnWholeAnswer(prompt, *stream, TokensOfEach),
                        stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(ResumeThatStallsToo)
{
    // The same draft, and the link of the resume goes silent as well: a switch drops every
    // packet of both. The watchdog has to watch the resume like the stream before it.
    Fleet fleet(planOf(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(
        setAll(fleet, {{QStringLiteral("stall_after"), 7}, {QStringLiteral("stall_resumes"), 2}}));
    const QString prompt = longPrompt(QStringLiteral("draft stalled twice "), TokensOfEach);
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Deadline-Ms", "10000");
    const auto stream = fleet.complete(0, prompt, TokensOfEach, headers);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isOwnWholeAnswer(prompt, *stream, TokensOfEach),
                        stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(RequestLostOnAStalledLink)
{
    // A draft waits to its deadline for an engine that has never heard of it: the link went
    // silent before the request was through. Asked for the generation, the engine does not
    // know it; the cancel makes sure that it never will, and the draft runs elsewhere.
    FleetPlan plan = planOf(2);
    plan.draftsService = {{QStringLiteral("policy"), QStringLiteral("round_robin")}};
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet.setFaults(fleet.engineEndpoint(0), {{QStringLiteral("swallow"), 1}}));
    const QString prompt = longPrompt(QStringLiteral("draft lost on the way "), TokensOfEach);
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Deadline-Ms", "10000");
    std::vector<std::unique_ptr<FleetStream>> streams;
    streams.reserve(DealtStreams);
    for (int i = 0; i < DealtStreams; ++i)
        streams.push_back(fleet.complete(0, prompt, TokensOfEach, headers));
    for (const auto &stream : streams) {
        BOOST_REQUIRE(stream->waitOver());
        BOOST_CHECK_MESSAGE(isOwnWholeAnswer(prompt, *stream, TokensOfEach),
                            stream->response().body.constData());
    }
    BOOST_TEST(fleet.runsOf(prompt) == DealtStreams);
    const FleetAnswer faults =
        fleet.client().sendJson(fleet.engineEndpoint(0), "POST", "/faults", {});
    BOOST_TEST(faults.json[QLatin1String("swallow")].toInt(-1) == 0);
}

BOOST_AUTO_TEST_CASE(EventsOfAnotherAttemptAreDropped)
{
    // A broker reads a line of another house's recap. The engine put events of another attempt
    // into the stream, with numbers that fit.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("wrong_attempt"), true}}));
    const QString prompt = longPrompt(QStringLiteral("recap among strangers "), TokensOfEach);
    const auto stream = fleet.complete(0, prompt, TokensOfEach, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isOwnWholeAnswer(prompt, *stream, TokensOfEach),
                        stream->response().body.constData());
}

BOOST_AUTO_TEST_CASE(EngineDiesBeforeTheFirstToken)
{
    // A draft hangs on an engine that is gone. Nothing of it has reached the caller and it may
    // run twice, so it starts again on the other engine.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 300.0}}));
    const QString prompt = longPrompt(QStringLiteral("draft that starts again "), TokensOfEach);
    const auto stream = fleet.complete(0, prompt, TokensOfEach, fleet.caller());
    BOOST_REQUIRE(waitFor([&] { return engineOf(fleet, prompt) >= 0; }));
    const int first = engineOf(fleet, prompt);
    BOOST_REQUIRE(
        fleet.setFaults(fleet.engineEndpoint(1 - first), {{QStringLiteral("slow_factor"), 1.0}}));
    fleet.engine(first).kill();
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isOwnWholeAnswer(prompt, *stream, TokensOfEach),
                        stream->response().body.constData());
}

BOOST_AUTO_TEST_CASE(EngineDiesAfterTheFirstToken)
{
    // A recap whose second half came of another generation would contradict its first half.
    // The engine died after some tokens; the stream ends and says so, and nothing is spliced.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 10.0}}));
    const QString prompt = longPrompt(QStringLiteral("recap that breaks off "), TokensOfEach);
    const auto stream = fleet.complete(0, prompt, TokensOfEach, fleet.caller());
    BOOST_REQUIRE(stream->waitForTokens(3));
    const int first = engineOf(fleet, prompt);
    BOOST_REQUIRE(first >= 0);
    fleet.engine(first).kill();
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(!stream->isWhole());
    BOOST_TEST(!stream->answer().isDone());
    const QJsonObject error = stream->answer().error();
    BOOST_TEST(error[QLatin1String("kind")].toString().toStdString() == "generation_lost");
    BOOST_TEST(error[QLatin1String("ran")].toString().toStdString() == "yes");
    BOOST_TEST(stream->answer().idsAreConsecutive());
    BOOST_CHECK(checkAnswer(prompt, stream->answer().texts()) == AnswerFault::None);
    BOOST_TEST(engineOf(fleet, prompt) == -1); // the other engine never saw it
}
