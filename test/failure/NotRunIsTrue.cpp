// Tests that a refusal with "ran: no" is true: no target has run the request, and none will.
#define BOOST_TEST_MODULE NotRunIsTrue
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QJsonArray>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int LoadRequests = 160;
constexpr int LoadTokens = 30;

FleetPlan makePlan(int engines)
{
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = engines;
    plan.daemonSettings = {{QStringLiteral("limits"),
                            QJsonObject{{QStringLiteral("load_poll_ms"), 100},
                                        {QStringLiteral("stall_floor_ms"), 100},
                                        {QStringLiteral("stall_ceiling_ms"), 300}}}};
    return plan;
}

HttpHeaders withDeadline(const Fleet &fleet, int milliseconds)
{
    HttpHeaders headers = fleet.caller();
    headers.add("Cranberry-Deadline-Ms", QByteArray::number(milliseconds));
    return headers;
}

HttpHeaders atMostOnceHeaders(const Fleet &fleet, const QByteArray &key)
{
    HttpHeaders headers = withDeadline(fleet, 8000);
    headers.add("Idempotency-Key", key);
    headers.add("Cranberry-Idempotent", "no");
    return headers;
}

/// Returns what the answer reports about whether the request ran; "yes" for a complete answer.
QString ranOf(const FleetStream &stream)
{
    if (stream.isWhole())
        return QStringLiteral("yes");
    const QJsonObject error = stream.tokenCount() > 0 || !stream.answer().error().isEmpty()
        ? stream.answer().error()
        : stream.json();
    return error.value(QLatin1String("ran")).toString();
}

/// Returns the number of runs on all engines by prompt hash.
QHash<QString, int> runsByPrompt(Fleet &fleet)
{
    QHash<QString, int> runs;
    for (int i = 0; i < fleet.engineCount(); ++i) {
        const QJsonArray list =
            fleet.runs(fleet.engineEndpoint(i)).value(QLatin1String("runs")).toArray();
        for (const QJsonValue run : list)
            ++runs[run[QLatin1String("prompt_hash")].toString()];
    }
    return runs;
}

bool setFaultsOfAll(Fleet &fleet, const QJsonObject &faults)
{
    bool areAccepted = true;
    for (int i = 0; i < fleet.engineCount(); ++i)
        areAccepted = fleet.setFaults(fleet.engineEndpoint(i), faults) && areAccepted;
    return areAccepted;
}

struct SentRequest {
    QString prompt;
    std::unique_ptr<FleetStream> stream;
};

/// Sends requests with short deadlines and calls @p change before each.
std::vector<SentRequest> sendUnderFaults(Fleet &fleet, const std::function<void(int)> &change)
{
    std::vector<SentRequest> sent;
    for (int i = 0; i < LoadRequests; ++i) {
        change(i);
        const QString prompt = QStringLiteral("storm request %1").arg(i);
        sent.push_back(
            {prompt,
             fleet.complete(0, prompt, LoadTokens, withDeadline(fleet, 200 + 20 * (i % 40)))});
    }
    for (const SentRequest &request : sent)
        BOOST_REQUIRE(request.stream->waitOver());
    return sent;
}

/// Checks every "ran: no" against the runs of the engines; returns the number of such answers.
int checkNotRun(Fleet &fleet, const std::vector<SentRequest> &sent)
{
    const QHash<QString, int> runs = runsByPrompt(fleet);
    int notRun = 0;
    for (const SentRequest &request : sent) {
        const QString ran = ranOf(*request.stream);
        BOOST_TEST_CONTEXT(request.prompt.toStdString()
                           << " " << request.stream->response().body.data())
        {
            BOOST_TEST(!ran.isEmpty());
            if (ran != QLatin1String("no"))
                continue;
            ++notRun;
            BOOST_TEST(runs.value(QString::fromUtf8(promptHash(request.prompt))) == 0);
        }
    }
    BOOST_TEST_MESSAGE(notRun << " of " << sent.size() << " requests were refused as not run");
    return notRun;
}

} // namespace

BOOST_AUTO_TEST_CASE(RefusedByEveryTarget)
{
    // Guards against a false "not run" after which the caller sends the request elsewhere: all
    // engines answer 503 and that they have not started it. Nothing may have run.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("refuse"), true}}));
    const QString prompt = QStringLiteral("recap that nobody takes");
    const auto stream = fleet.complete(0, prompt, 20, withDeadline(fleet, 3000));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "no");
    BOOST_TEST(stream->response().headers.value("Cranberry-Ran").toStdString() == "no");
    BOOST_TEST(fleet.runsOf(prompt) == 0);
}

BOOST_AUTO_TEST_CASE(ResetAfterTheStartIsResumed)
{
    // Guards against a false "not run" and against a second run: a request ran, but its connection
    // was reset before the first byte of the answer. The run is found by its attempt id.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("reset_before_answer"), 1}}));
    const QString prompt = QStringLiteral("draft whose connection is reset");
    const auto stream = fleet.complete(0, prompt, 20, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(stream->isWhole(), stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(KilledWhileItRanIsNotNotRun)
{
    // Guards against a false "not run" after which the caller sends the alert by other means as
    // well: the engine dies after it began the generation. Further connections then fail, and that
    // last failure alone looks as if nothing had been sent.
    Fleet fleet(makePlan(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
    const QString prompt = QStringLiteral("alert on a dying engine");
    const auto stream = fleet.complete(0, prompt, 20, withDeadline(fleet, 8000));
    BOOST_REQUIRE(waitFor([&] { return fleet.runsOf(prompt) == 1; }));
    fleet.engine(0).kill();
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->tokenCount() == 0);
    BOOST_TEST(ranOf(*stream).toStdString() == "maybe");
}

BOOST_AUTO_TEST_CASE(RestartedTargetDoesNotVouchForTheOneBefore)
{
    // Guards against a false "not run" from a restarted engine: it restarts on the same address
    // before the daemon asks, and truthfully reports that it never started this generation; the
    // process before it had.
    Fleet fleet(makePlan(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
    const QString prompt = QStringLiteral("alert on an engine that restarts");
    const auto stream = fleet.complete(0, prompt, 20, withDeadline(fleet, 8000));
    BOOST_REQUIRE(waitFor([&] { return fleet.runsOf(prompt) == 1; }));
    fleet.engine(0).kill();
    BOOST_REQUIRE(fleet.restartEngine(0));
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("refuse"), true}}));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "maybe");
}

BOOST_AUTO_TEST_CASE(StormOfRefusalsResetsAndDeadlines)
{
    // Guards against a false "not run" under overload and faults: callers with short deadlines send
    // requests while engines in turn refuse, reset connections and are slow. Requests end at their
    // deadline in the queue, in transit or partly answered. None that ran may be reported as not
    // run.
    Fleet fleet(makePlan(4));
    BOOST_REQUIRE(fleet.start());
    const auto change = [&](int i) {
        const HttpEndpoint engine = fleet.engineEndpoint(i % 4);
        const int faultKind = (i / 4) % 4;
        BOOST_REQUIRE(
            fleet.setFaults(engine,
                            {{QStringLiteral("refuse"), faultKind == 1},
                             {QStringLiteral("reset_before_answer"), faultKind == 2 ? 2 : 0},
                             {QStringLiteral("slow_factor"), faultKind == 3 ? 30.0 : 2.0}}));
    };
    const std::vector<SentRequest> sent = sendUnderFaults(fleet, change);
    BOOST_TEST(checkNotRun(fleet, sent) > 0);
}

BOOST_AUTO_TEST_CASE(StormWhileTargetsLeave)
{
    // Guards against a false "not run" while engines drain one after the other under load: the last
    // one serves what it can, and the other requests are refused.
    Fleet fleet(makePlan(4));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 6.0}}));
    const auto change = [&](int i) {
        if (i % 40 == 20)
            BOOST_REQUIRE(fleet.setFaults(
                fleet.engineEndpoint(i / 40),
                {{QStringLiteral("leaving"), true}, {QStringLiteral("refuse"), true}}));
    };
    const std::vector<SentRequest> sent = sendUnderFaults(fleet, change);
    BOOST_TEST(checkNotRun(fleet, sent) > 0);
}

BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotSentAgain)
{
    // Guards against a request that is executed twice: its engine dies while the request runs, and
    // it is sent to the next engine as an idempotent request would be.
    Fleet fleet(makePlan(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setFaultsOfAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
    const QString prompt = QStringLiteral("alert that must not go out twice");
    const auto stream = fleet.complete(0, prompt, 20, atMostOnceHeaders(fleet, "alert"));
    BOOST_REQUIRE(waitFor([&] { return fleet.runsOf(prompt) == 1; }));
    const QString hash = QString::fromUtf8(promptHash(prompt));
    const QJsonArray runs =
        fleet.runs(fleet.engineEndpoint(0)).value(QLatin1String("runs")).toArray();
    const int firstEngine = runs.isEmpty() ? 1 : 0;
    fleet.engine(firstEngine).kill();
    BOOST_REQUIRE(fleet.restartEngine(firstEngine));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "maybe");
    BOOST_TEST(runsByPrompt(fleet).value(hash) == 0);
}

BOOST_AUTO_TEST_CASE(CallThatMayHaveRunIsNotSentAgain)
{
    // Guards against a call that is executed twice: a plain service does the work, and its
    // connection breaks before the answer. Such a service can neither be queried nor told to
    // cancel.
    FleetPlan plan = makePlan(1);
    plan.plainServices = 2;
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.start());
    for (int i = 0; i < 2; ++i)
        BOOST_REQUIRE(
            fleet.setFaults(fleet.plainEndpoint(i), {{QStringLiteral("reset_before_answer"), 1}}));
    const FleetAnswer answer =
        fleet.client().sendJson(fleet.gateway(0), "POST", "/services/status/book",
                                {{QStringLiteral("ship"), 1}}, atMostOnceHeaders(fleet, "booking"));
    BOOST_CHECK_MESSAGE(answer.is(502), answer.response.body.constData());
    BOOST_TEST(answer.json[QLatin1String("ran")].toString().toStdString() == "maybe");
    int runs = 0;
    for (int i = 0; i < 2; ++i)
        runs += int(fleet.runs(fleet.plainEndpoint(i))[QLatin1String("runs")].toArray().size());
    BOOST_TEST(runs == 1);
}
