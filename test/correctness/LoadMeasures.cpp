// What the load tool counts: its figures decide between policies, so they are checked here.
#define BOOST_TEST_MODULE LoadMeasures
#include <boost/test/unit_test.hpp>

#include "load/ArrivalPlan.h"
#include "load/LoadMetrics.h"
#include "load/PolicyComparison.h"
#include "load/RequestResult.h"
#include "support/ExpectedText.h"

#include <cmath>

using namespace cranberry;
using namespace cranberry::load;

namespace {

constexpr Milliseconds StallThreshold{100};

TrafficMix tenWorkspaces()
{
    TrafficMix mix;
    for (int i = 0; i < 10; ++i)
        mix.keys.append("key-w" + QByteArray::number(i));
    mix.rate = 200;
    mix.duration = Milliseconds(10'000);
    return mix;
}

QByteArray event(const QString &prompt, const QByteArray &attempt, int index)
{
    const QByteArray text = test::tokenText(attempt, test::promptHash(prompt), index);
    return "id: " + QByteArray::number(index) + "\ndata: {\"choices\":[{\"index\":0,\"text\":\""
        + text + "\",\"finish_reason\":null}]}\n\n";
}

const QByteArray LastEvents = "id: 9\ndata: {\"choices\":[{\"index\":0,\"text\":\"\","
                              "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

/// A whole answer whose tokens @p indices came 10 ms apart.
RequestResult answered(const QString &prompt, const QList<int> &indices)
{
    RequestResult result;
    result.request.prompt = prompt;
    result.response.status = 200;
    result.end = HttpExchangeEnd::Complete;
    result.hasEnded = true;
    MonotonicTime now = result.sentAt;
    for (const int index : indices) {
        now += Milliseconds(10);
        result.answer.feed(event(prompt, "a1", index), now);
    }
    result.answer.feed(LastEvents, now);
    result.endedAt = now;
    return result;
}

LoadMetrics measured(const RequestResult &result)
{
    LoadMetrics metrics;
    recordResult(metrics, result, StallThreshold);
    return metrics;
}

LoadMetrics withStall(double stallMs)
{
    LoadMetrics metrics;
    metrics.stallMs = stallMs;
    return metrics;
}

} // namespace

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameArrivalsAndAnotherSeedOthers)
{
    const TrafficMix mix = tenWorkspaces();
    const QList<PlannedRequest> first = planArrivals(mix, 1);
    const QList<PlannedRequest> again = planArrivals(mix, 1);
    const QList<PlannedRequest> other = planArrivals(mix, 2);
    BOOST_REQUIRE(first.size() == again.size());
    bool same = true;
    for (int i = 0; i < first.size(); ++i)
        same = same && first.at(i).prompt == again.at(i).prompt
            && first.at(i).sendOffset == again.at(i).sendOffset;
    BOOST_TEST(same);
    BOOST_CHECK(first.first().prompt != other.first().prompt);
}

BOOST_AUTO_TEST_CASE(ArrivalsHaveTheRateAndTheSharesOfTheMix)
{
    const TrafficMix mix = tenWorkspaces();
    const QList<PlannedRequest> plan = planArrivals(mix, 1);
    const double expected = mix.rate * 10;
    BOOST_TEST(std::abs(plan.size() - expected) < 5 * std::sqrt(expected));
    int large = 0;
    for (const PlannedRequest &request : plan)
        large += request.workspace < 2 ? 1 : 0;
    // Two of ten workspaces send four times as much: 8 of 16 requests.
    BOOST_TEST(std::abs(double(large) / double(plan.size()) - 0.5) < 0.05);
}

BOOST_AUTO_TEST_CASE(GreedyWorkspaceSendsOnTopOfTheOthers)
{
    TrafficMix mix = tenWorkspaces();
    const auto countOf = [](const QList<PlannedRequest> &plan, bool greedy) {
        int count = 0;
        for (const PlannedRequest &request : plan)
            count += (request.workspace == 9) == greedy ? 1 : 0;
        return count;
    };
    const QList<PlannedRequest> fair = planArrivals(mix, 1);
    mix.greedyFactor = 10;
    const QList<PlannedRequest> greedy = planArrivals(mix, 1);
    BOOST_TEST(countOf(greedy, true) > 6 * countOf(fair, true));
    BOOST_TEST(std::abs(countOf(greedy, false) - countOf(fair, false)) < 250);
}

BOOST_AUTO_TEST_CASE(WholeAnswerCountsAsWhole)
{
    const LoadMetrics metrics = measured(answered(QStringLiteral("p"), {0, 1, 2, 3}));
    BOOST_TEST(metrics.whole == 1);
    BOOST_TEST(metrics.wholeTokens == 4);
    BOOST_TEST(metrics.tokensLost == 0);
    BOOST_TEST(metrics.stallMs == 0);
    BOOST_TEST(metrics.betweenTokens.count() == 3);
}

BOOST_AUTO_TEST_CASE(LostDoubledAndCrossedTokensAreSeen)
{
    const LoadMetrics lost = measured(answered(QStringLiteral("p"), {0, 1, 3}));
    BOOST_TEST(lost.tokensLost == 1);
    BOOST_TEST(lost.whole == 0);
    const LoadMetrics doubled = measured(answered(QStringLiteral("p"), {0, 1, 1, 2}));
    BOOST_TEST(doubled.tokensDoubled == 1);
    BOOST_TEST(doubled.whole == 0);
    RequestResult crossed = answered(QStringLiteral("p"), {0, 1});
    crossed.request.prompt = QStringLiteral("another");
    BOOST_TEST(measured(crossed).crossed == 1);
}

BOOST_AUTO_TEST_CASE(AnswerThatBreaksOffIsFailedAndNeverWhole)
{
    RequestResult broken = answered(QStringLiteral("p"), {0, 1});
    broken.end = HttpExchangeEnd::Broken;
    const LoadMetrics metrics = measured(broken);
    BOOST_TEST(metrics.whole == 0);
    BOOST_TEST(metrics.failed == 1);
    RequestResult unfinished = answered(QStringLiteral("p"), {0, 1});
    unfinished.hasEnded = false;
    BOOST_TEST(measured(unfinished).unfinished == 1);
}

BOOST_AUTO_TEST_CASE(RefusalIsCountedByItsKind)
{
    RequestResult refused;
    refused.hasEnded = true;
    refused.end = HttpExchangeEnd::Complete;
    refused.response = {429, {}, R"({"kind":"queue_full","ran":"no"})"};
    const LoadMetrics metrics = measured(refused);
    BOOST_TEST(metrics.refused == 1);
    BOOST_TEST(metrics.refusedByKind[QStringLiteral("queue_full")] == 1);
    BOOST_TEST(isReportedNotRun(refused));
}

BOOST_AUTO_TEST_CASE(OnlyGapsOverTheThresholdAreStallTime)
{
    RequestResult result;
    result.request.prompt = QStringLiteral("p");
    MonotonicTime now = result.sentAt;
    int index = 0;
    for (const int gap : {10, 100, 150, 300}) {
        now += Milliseconds(gap);
        result.answer.feed(event(result.request.prompt, "a1", index++), now);
    }
    const LoadMetrics metrics = measured(result);
    BOOST_TEST(metrics.stallMs == 450);
    BOOST_TEST(metrics.stalledStreams == 1);
    BOOST_TEST(metrics.firstToken.max() == 10);
}

BOOST_AUTO_TEST_CASE(SteadyTokensAreThoseOfTheSecondHalfOfTheArrivals)
{
    RequestResult result = answered(QStringLiteral("p"), {0, 1, 2, 3, 4, 5});
    result.request.sendOffset = Milliseconds(25); // its tokens come at 35, 45, 55, 65, 75 and 85 ms
    LoadMetrics metrics;
    recordSteadyTokens(metrics, result, Milliseconds(80));
    BOOST_TEST(metrics.steadyTokens == 4);
}

BOOST_AUTO_TEST_CASE(QuantilesAreThoseOfTheTimes)
{
    TimeHistogram times;
    for (int i = 1; i <= 1000; ++i)
        times.add(i);
    BOOST_TEST(std::abs(times.quantile(0.5) - 500) < 10);
    BOOST_TEST(std::abs(times.quantile(0.99) - 990) < 20);
    BOOST_TEST(times.quantile(1) == 1000);
}

BOOST_AUTO_TEST_CASE(RatiosAreSeedBySeedToTheBestBaseline)
{
    const PolicyComparison comparison{
        {QStringLiteral("round_robin"), {withStall(400), withStall(800), withStall(600)}},
        {QStringLiteral("two_choices"), {withStall(100), withStall(200), withStall(300)}},
        {QStringLiteral("forecast"), {withStall(50), withStall(50), withStall(60)}}};
    const ComparedMeasure forecast =
        compareMeasure(comparison, QStringLiteral("forecast"), QStringLiteral("stall_ms"));
    BOOST_TEST(forecast.median == 50);
    BOOST_TEST(forecast.ratio == 0.25);
    BOOST_TEST(forecast.minRatio == 0.2);
    BOOST_TEST(forecast.maxRatio == 0.5);
    const ComparedMeasure none =
        compareMeasure(comparison, QStringLiteral("forecast"), QStringLiteral("preemptions"));
    BOOST_TEST(none.ratio < 0);
}
