// Tests that every caller gets its own complete answer, with each token once, in order and from one
// generation.
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

constexpr int ConcurrentStreams = 500;
constexpr int TokensPerAnswer = 40;
constexpr int RoundRobinStreams = 8;

FleetPlan makePlan(int engines)
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

/// Whether @p stream is the complete answer to @p prompt: numbered from 0, of one generation and as
/// long as the engine makes it.
bool isExpectedAnswer(const QString &prompt, const FleetStream &stream, int maxTokens)
{
    const int length = answerLength(AnswerLengths(), promptHash(prompt), maxTokens);
    return stream.isWhole() && stream.tokenCount() == length
        && checkAnswer(prompt, stream.answer().texts()) == AnswerFault::None;
}

/// Returns a prompt whose answer has exactly the maximum of @p tokens tokens.
QString longPrompt(const QString &start, int tokens)
{
    for (int i = 0;; ++i) {
        QString prompt = start + QString::number(i);
        if (answerLength(AnswerLengths(), promptHash(prompt), tokens) == tokens)
            return prompt;
    }
}

/// Returns the index of the engine that runs @p prompt, or -1.
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

bool setFaultsOfAll(Fleet &fleet, const QJsonObject &faults)
{
    bool areAccepted = true;
    for (int i = 0; i < fleet.engineCount(); ++i)
        areAccepted = fleet.setFaults(fleet.engineEndpoint(i), faults) && areAccepted;
    return areAccepted;
}

} // namespace

BOOST_AUTO_TEST_CASE(FiveHundredStreamsAtOnce)
{
    // Guards against mixed or incomplete answers when streams that share a daemon and its engines
    // are confused. Two workspaces with 250 streams each are open at once.
    Fleet fleet(makePlan(4));
    BOOST_REQUIRE(fleet.start());
    struct SentRequest {
        QString prompt;
        std::unique_ptr<FleetStream> stream;
    };
    std::vector<SentRequest> sent;
    for (int i = 0; i < ConcurrentStreams; ++i) {
        const QString prompt =
            QStringLiteral("bulletin of workspace %1, part %2").arg(i % 2).arg(i);
        sent.push_back({prompt, fleet.complete(0, prompt, TokensPerAnswer, fleet.caller(i % 2))});
    }
    int whole = 0;
    int tokens = 0;
    for (const SentRequest &request : sent) {
        BOOST_REQUIRE(request.stream->waitOver());
        const bool isExpected = isExpectedAnswer(request.prompt, *request.stream, TokensPerAnswer);
        BOOST_CHECK_MESSAGE(isExpected,
                            request.prompt.toStdString()
                                + request.stream->response().body.right(400).toStdString());
        whole += isExpected ? 1 : 0;
        tokens += request.stream->tokenCount();
    }
    BOOST_TEST_MESSAGE(whole << " of " << sent.size() << " answers whole, " << tokens << " tokens");
    int runs = 0;
    for (int i = 0; i < fleet.engineCount(); ++i)
        runs += int(fleet.runs(fleet.engineEndpoint(i))[QLatin1String("runs")].toArray().size());
    BOOST_TEST(runs == ConcurrentStreams);
}

BOOST_AUTO_TEST_CASE(LinkThatStallsIsResumed)
{
    // Guards against a stream that stalls for ever: the link to the engine goes silent without
    // closing, and neither side sees an error.
    Fleet fleet(makePlan(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("stall_after"), 7}}));
    const QString prompt = longPrompt(QStringLiteral("stalled draft "), TokensPerAnswer);
    const auto stream = fleet.complete(0, prompt, TokensPerAnswer, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isExpectedAnswer(prompt, *stream, TokensPerAnswer),
                        stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(ResumeThatStallsToo)
{
    // The link of the resume goes silent as well, as when a switch drops every packet of both. The
    // watchdog has to monitor the resume like the stream before it.
    Fleet fleet(makePlan(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(
        fleet, {{QStringLiteral("stall_after"), 7}, {QStringLiteral("stall_resumes"), 2}}));
    const QString prompt = longPrompt(QStringLiteral("draft stalled twice "), TokensPerAnswer);
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Deadline-Ms", "10000");
    const auto stream = fleet.complete(0, prompt, TokensPerAnswer, headers);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isExpectedAnswer(prompt, *stream, TokensPerAnswer),
                        stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(RequestLostOnAStalledLink)
{
    // Guards against a request that waits until its deadline for an engine that never received it:
    // the link goes silent before the request is through. The engine reports that it does not know
    // the generation, the cancel ensures that it never runs it, and the request runs on another
    // engine.
    FleetPlan plan = makePlan(2);
    plan.draftsService = {{QStringLiteral("policy"), QStringLiteral("round_robin")}};
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet.setFaults(fleet.engineEndpoint(0), {{QStringLiteral("swallow"), 1}}));
    const QString prompt = longPrompt(QStringLiteral("draft lost on the way "), TokensPerAnswer);
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Deadline-Ms", "10000");
    std::vector<std::unique_ptr<FleetStream>> streams;
    streams.reserve(RoundRobinStreams);
    for (int i = 0; i < RoundRobinStreams; ++i)
        streams.push_back(fleet.complete(0, prompt, TokensPerAnswer, headers));
    for (const auto &stream : streams) {
        BOOST_REQUIRE(stream->waitOver());
        BOOST_CHECK_MESSAGE(isExpectedAnswer(prompt, *stream, TokensPerAnswer),
                            stream->response().body.constData());
    }
    BOOST_TEST(fleet.runsOf(prompt) == RoundRobinStreams);
    const FleetAnswer faults =
        fleet.client().sendJson(fleet.engineEndpoint(0), "POST", "/faults", {});
    BOOST_TEST(faults.json[QLatin1String("swallow")].toInt(-1) == 0);
}

BOOST_AUTO_TEST_CASE(EventsOfAnotherAttemptAreDropped)
{
    // Guards against events of another caller's answer: the engine puts events of another attempt
    // into the stream, with event numbers that fit.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("wrong_attempt"), true}}));
    const QString prompt = longPrompt(QStringLiteral("recap among strangers "), TokensPerAnswer);
    const auto stream = fleet.complete(0, prompt, TokensPerAnswer, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isExpectedAnswer(prompt, *stream, TokensPerAnswer),
                        stream->response().body.constData());
}

BOOST_AUTO_TEST_CASE(EngineDiesBeforeTheFirstToken)
{
    // Guards against a request that waits for an engine that has died. Nothing of the answer has
    // reached the caller and the request may run twice, so it restarts on the other engine.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 300.0}}));
    const QString prompt = longPrompt(QStringLiteral("draft that starts again "), TokensPerAnswer);
    const auto stream = fleet.complete(0, prompt, TokensPerAnswer, fleet.caller());
    BOOST_REQUIRE(waitFor([&] { return engineOf(fleet, prompt) >= 0; }));
    const int firstEngine = engineOf(fleet, prompt);
    BOOST_REQUIRE(fleet.setFaults(fleet.engineEndpoint(1 - firstEngine),
                                  {{QStringLiteral("slow_factor"), 1.0}}));
    fleet.engine(firstEngine).kill();
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(isExpectedAnswer(prompt, *stream, TokensPerAnswer),
                        stream->response().body.constData());
}

BOOST_AUTO_TEST_CASE(EngineDiesAfterTheFirstToken)
{
    // Guards against an answer spliced from two generations: the engine dies after some tokens. The
    // stream ends with an error, and nothing of another run is appended.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 10.0}}));
    const QString prompt = longPrompt(QStringLiteral("recap that breaks off "), TokensPerAnswer);
    const auto stream = fleet.complete(0, prompt, TokensPerAnswer, fleet.caller());
    BOOST_REQUIRE(stream->waitForTokens(3));
    const int firstEngine = engineOf(fleet, prompt);
    BOOST_REQUIRE(firstEngine >= 0);
    fleet.engine(firstEngine).kill();
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(!stream->isWhole());
    BOOST_TEST(!stream->answer().isDone());
    const QJsonObject error = stream->answer().error();
    BOOST_TEST(error[QLatin1String("kind")].toString().toStdString() == "generation_lost");
    BOOST_TEST(error[QLatin1String("ran")].toString().toStdString() == "yes");
    BOOST_TEST(stream->answer().idsAreConsecutive());
    BOOST_CHECK(checkAnswer(prompt, stream->answer().texts()) == AnswerFault::None);
    BOOST_TEST(engineOf(fleet, prompt) == -1); // the other engine never received it
}
