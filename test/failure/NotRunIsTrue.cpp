// A refusal that says "ran: no" is true: no target has run the request, and none will.
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

constexpr int StormRequests = 160;
constexpr int StormTokens = 30;

FleetPlan planOf(int engines)
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

HttpHeaders onceHeaders(const Fleet &fleet, const QByteArray &key)
{
    HttpHeaders headers = withDeadline(fleet, 8000);
    headers.add("Idempotency-Key", key);
    headers.add("Cranberry-Idempotent", "no");
    return headers;
}

/// What the answer says of whether the request ran; "yes" for a whole answer.
QString ranOf(const FleetStream &stream)
{
    if (stream.isWhole())
        return QStringLiteral("yes");
    const QJsonObject problem = stream.tokenCount() > 0 || !stream.answer().error().isEmpty()
        ? stream.answer().error()
        : stream.json();
    return problem.value(QLatin1String("ran")).toString();
}

/// Runs of all engines by prompt hash.
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

bool setAll(Fleet &fleet, const QJsonObject &faults)
{
    bool taken = true;
    for (int i = 0; i < fleet.engineCount(); ++i)
        taken = fleet.setFaults(fleet.engineEndpoint(i), faults) && taken;
    return taken;
}

struct Sent {
    QString prompt;
    std::unique_ptr<FleetStream> stream;
};

/// Sends requests with short deadlines while @p change is called before each.
std::vector<Sent> storm(Fleet &fleet, const std::function<void(int)> &change)
{
    std::vector<Sent> sent;
    for (int i = 0; i < StormRequests; ++i) {
        change(i);
        const QString prompt = QStringLiteral("storm request %1").arg(i);
        sent.push_back(
            {prompt,
             fleet.complete(0, prompt, StormTokens, withDeadline(fleet, 200 + 20 * (i % 40)))});
    }
    for (const Sent &request : sent)
        BOOST_REQUIRE(request.stream->waitOver());
    return sent;
}

/// Checks every "ran: no" against what the engines ran; returns how many there were.
int checkNotRun(Fleet &fleet, const std::vector<Sent> &sent)
{
    const QHash<QString, int> runs = runsByPrompt(fleet);
    int notRun = 0;
    for (const Sent &request : sent) {
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
    // A broker is told "not run" and sends the recap elsewhere. All engines answered 503 and
    // that they had not started; nothing may have run.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("refuse"), true}}));
    const QString prompt = QStringLiteral("recap that nobody takes");
    const auto stream = fleet.complete(0, prompt, 20, withDeadline(fleet, 3000));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "no");
    BOOST_TEST(stream->response().headers.value("Cranberry-Ran").toStdString() == "no");
    BOOST_TEST(fleet.runsOf(prompt) == 0);
}

BOOST_AUTO_TEST_CASE(ResetAfterTheStartIsResumed)
{
    // A draft ran, but the connection was reset before its first byte. "Not run" would be
    // false and a second send would run it twice; the run is found again by its attempt id.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("reset_before_answer"), 1}}));
    const QString prompt = QStringLiteral("draft whose connection is reset");
    const auto stream = fleet.complete(0, prompt, 20, fleet.caller());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_CHECK_MESSAGE(stream->isWhole(), stream->response().body.constData());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_AUTO_TEST_CASE(KilledWhileItRanIsNotNotRun)
{
    // A clinic is told "not run" and sends the alert by telephone as well. The engine had
    // begun the generation when it died without a word; then no connection came about any
    // more, and that last failure alone looked as if nothing had been sent.
    Fleet fleet(planOf(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
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
    // The alert again: the engine died and was up anew on the same address before the daemon
    // asked. It said, as far as it knew truly, that it had never started this generation; the
    // process before it had.
    Fleet fleet(planOf(1));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
    const QString prompt = QStringLiteral("alert on an engine that restarts");
    const auto stream = fleet.complete(0, prompt, 20, withDeadline(fleet, 8000));
    BOOST_REQUIRE(waitFor([&] { return fleet.runsOf(prompt) == 1; }));
    fleet.engine(0).kill();
    BOOST_REQUIRE(fleet.restartEngine(0));
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("refuse"), true}}));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "maybe");
}

BOOST_AUTO_TEST_CASE(StormOfRefusalsResetsAndDeadlines)
{
    // Callers with little time send at a fleet that is out of order: engines refuse, reset
    // connections and are slow in turn. Some requests end at their deadline in the queue, some
    // on the wire, some half answered. None that ran may be called "not run".
    Fleet fleet(planOf(4));
    BOOST_REQUIRE(fleet.start());
    const auto change = [&](int i) {
        const HttpEndpoint engine = fleet.engineEndpoint(i % 4);
        const int turn = (i / 4) % 4;
        BOOST_REQUIRE(fleet.setFaults(engine,
                                      {{QStringLiteral("refuse"), turn == 1},
                                       {QStringLiteral("reset_before_answer"), turn == 2 ? 2 : 0},
                                       {QStringLiteral("slow_factor"), turn == 3 ? 30.0 : 2.0}}));
    };
    const std::vector<Sent> sent = storm(fleet, change);
    BOOST_TEST(checkNotRun(fleet, sent) > 0);
}

BOOST_AUTO_TEST_CASE(StormWhileTargetsLeave)
{
    // Engines are reclaimed one after the other while requests go on; the last takes what it
    // can and the rest is refused.
    Fleet fleet(planOf(4));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 6.0}}));
    const auto change = [&](int i) {
        if (i % 40 == 20)
            BOOST_REQUIRE(fleet.setFaults(
                fleet.engineEndpoint(i / 40),
                {{QStringLiteral("leaving"), true}, {QStringLiteral("refuse"), true}}));
    };
    const std::vector<Sent> sent = storm(fleet, change);
    BOOST_TEST(checkNotRun(fleet, sent) > 0);
}

BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotSentAgain)
{
    // A clinic gets one alert twice: its engine died while the alert ran, and the alert was
    // sent to the next engine as a draft would be.
    Fleet fleet(planOf(2));
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(setAll(fleet, {{QStringLiteral("slow_factor"), 400.0}}));
    const QString prompt = QStringLiteral("alert that must not go out twice");
    const auto stream = fleet.complete(0, prompt, 20, onceHeaders(fleet, "alert"));
    BOOST_REQUIRE(waitFor([&] { return fleet.runsOf(prompt) == 1; }));
    const QString hash = QString::fromUtf8(promptHash(prompt));
    const QJsonArray runs =
        fleet.runs(fleet.engineEndpoint(0)).value(QLatin1String("runs")).toArray();
    const int first = runs.isEmpty() ? 1 : 0;
    fleet.engine(first).kill();
    BOOST_REQUIRE(fleet.restartEngine(first));
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(ranOf(*stream).toStdString() == "maybe");
    BOOST_TEST(runsByPrompt(fleet).value(hash) == 0);
}

BOOST_AUTO_TEST_CASE(CallThatMayHaveRunIsNotSentAgain)
{
    // A fixture is booked twice: the plain service did the work and its connection broke before
    // the answer. Such a service can neither be asked nor told to cancel.
    FleetPlan plan = planOf(1);
    plan.plainServices = 2;
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.start());
    for (int i = 0; i < 2; ++i)
        BOOST_REQUIRE(
            fleet.setFaults(fleet.plainEndpoint(i), {{QStringLiteral("reset_before_answer"), 1}}));
    const FleetAnswer answer =
        fleet.client().sendJson(fleet.gateway(0), "POST", "/services/status/book",
                                {{QStringLiteral("ship"), 1}}, onceHeaders(fleet, "booking"));
    BOOST_CHECK_MESSAGE(answer.is(502), answer.response.body.constData());
    BOOST_TEST(answer.json[QLatin1String("ran")].toString().toStdString() == "maybe");
    int runs = 0;
    for (int i = 0; i < 2; ++i)
        runs += int(fleet.runs(fleet.plainEndpoint(i))[QLatin1String("runs")].toArray().size());
    BOOST_TEST(runs == 1);
}
