// Tests the permits by which daemons keep the rate limit of a target together, in virtual time.
#define BOOST_TEST_MODULE RatePermits
#include <boost/test/unit_test.hpp>

#include "relay/LimitMessages.h"
#include "relay/RateEvidence.h"
#include "support/LimitSimulation.h"

#include <QCborArray>

#include <cmath>
#include <limits>
#include <random>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 20;
constexpr MonotonicTime Start{std::chrono::hours(1)};

/// Requests that a target may receive in 4 s.
int allowedInWindow(double perSecond)
{
    return int(1.5 * perSecond * 4) + 5;
}

/// Runs @p scenario with several seeds; returns the lowest use of the limit.
double checkBound(const test::LimitScenario &scenario)
{
    double lowestUse = 1000;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const test::LimitOutcome outcome = test::simulateLimit(scenario, seed);
        BOOST_TEST(outcome.mostInWindow <= allowedInWindow(scenario.perSecond),
                   scenario.daemons << " daemons, " << scenario.perSecond << " a second, seed "
                                    << seed << ": " << outcome.mostInWindow);
        lowestUse = std::min(lowestUse, outcome.use);
    }
    return lowestUse;
}

RateEvidence evidence(std::optional<double> perSecond, Milliseconds asked, Milliseconds answered)
{
    return {perSecond, Start + asked, Start + answered};
}

} // namespace

// Guards against a limit that is hardly used although there is demand on all daemons.
BOOST_AUTO_TEST_CASE(LimitIsKeptAndUsedWithEvenDemand)
{
    for (const int daemons : {1, 2, 9, 40}) {
        for (const double perSecond : {0.5, 2.8, 5.0, 50.0}) {
            test::LimitScenario scenario;
            scenario.daemons = daemons;
            scenario.perSecond = perSecond;
            scenario.demand = 3 * perSecond + daemons;
            const double use = checkBound(scenario);
            BOOST_TEST(use >= 0.8, daemons << " daemons, " << perSecond << " a second: " << use);
        }
    }
}

// Guards against a limit that is exceeded when messages are lost, late or doubled.
BOOST_AUTO_TEST_CASE(LimitIsKeptWithLostLateAndDoubledMessages)
{
    for (const int daemons : {2, 9, 40}) {
        for (const double perSecond : {0.5, 2.8, 20.0}) {
            test::LimitScenario scenario;
            scenario.daemons = daemons;
            scenario.perSecond = perSecond;
            scenario.demand = 100;
            scenario.shareOfFirstTenth = 0.6;
            scenario.lossRate = 0.2;
            scenario.duplicationRate = 0.2;
            scenario.maxDelay = 600ms;
            checkBound(scenario);
        }
    }
}

// Guards against two owners that together hand out more than the limit.
BOOST_AUTO_TEST_CASE(LimitIsKeptWhenOwnersChange)
{
    for (const int daemons : {4, 9, 40}) {
        for (const double perSecond : {0.5, 2.8, 20.0}) {
            test::LimitScenario scenario;
            scenario.daemons = daemons;
            scenario.perSecond = perSecond;
            scenario.demand = 100;
            scenario.partitionAt = 10s;
            checkBound(scenario);
            scenario.partitionAt = 0ms;
            scenario.ownerEndsAt = 10s;
            checkBound(scenario);
        }
    }
}

// Guards against hundreds of daemons that each send one request at the same time.
BOOST_AUTO_TEST_CASE(LimitIsKeptByALargeFleet)
{
    test::LimitScenario scenario;
    scenario.daemons = 800;
    scenario.demand = 400;
    scenario.duration = 12s;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const test::LimitOutcome outcome = test::simulateLimit(scenario, seed);
        BOOST_TEST(outcome.mostInWindow <= allowedInWindow(scenario.perSecond));
        BOOST_TEST(outcome.use >= 0.8);
    }
}

// Guards against a limit of zero that lets requests through, and against one that never ends since
// no answer is seen that shows its end.
BOOST_AUTO_TEST_CASE(LimitOfZeroLetsFewRequestsThrough)
{
    test::LimitScenario scenario;
    scenario.perSecond = 0;
    scenario.demand = 50;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const test::LimitOutcome outcome = test::simulateLimit(scenario, seed);
        BOOST_TEST(outcome.mostInWindow <= allowedInWindow(0));
        BOOST_TEST(outcome.sent >= 3);
        BOOST_TEST(outcome.sent <= 7);
    }
}

// Guards against a limit that ends by an answer that overtook one that names it.
BOOST_AUTO_TEST_CASE(AnswersThatOvertakeEachOtherEndNoLimit)
{
    const RateEvidence named = evidence(2.8, 100ms, 300ms);
    const RateEvidence overtaken = mergeEvidence(named, evidence({}, 200ms, 310ms));
    BOOST_TEST(overtaken.perSecond.has_value());
    const RateEvidence ended = mergeEvidence(named, evidence({}, 301ms, 320ms));
    BOOST_TEST(!ended.perSecond.has_value());
    // A late answer that may have been written before the end names the limit again.
    BOOST_TEST(mergeEvidence(ended, evidence(2.8, 90ms, 400ms)).perSecond.has_value());
    BOOST_TEST(!mergeEvidence(ended, evidence(2.8, 90ms, 300ms)).perSecond.has_value());
    // Of two limits, that of the later request holds.
    BOOST_TEST(*mergeEvidence(named, evidence(5.0, 150ms, 200ms)).perSecond == 5.0);
    BOOST_TEST(*mergeEvidence(named, evidence(5.0, 50ms, 400ms)).perSecond == 2.8);
}

// Guards against permits of an answer that came twice, or to an earlier ask.
BOOST_AUTO_TEST_CASE(AnswersCountOnce)
{
    PermitStock stock;
    beginAsk(stock, Start);
    BOOST_TEST(applyGrant(stock, 1, {2, 0ms}, Start + 5ms));
    BOOST_TEST(!applyGrant(stock, 1, {2, 0ms}, Start + 6ms));
    spendPermit(stock, Start + 7ms);
    BOOST_TEST(hasPermit(stock, Start + 8ms));
    BOOST_TEST(!hasPermit(stock, Start + PermitLifetime));
    beginAsk(stock, Start + 2s);
    beginAsk(stock, Start + 3s);
    BOOST_TEST(!applyGrant(stock, 2, {2, 0ms}, Start + 3s));
}

// Guards against requests that were sent without a permit and are not made up for.
BOOST_AUTO_TEST_CASE(RequestsWithoutPermitDelayLaterOnes)
{
    PermitBucket bucket = openBucket(Start);
    const MonotonicTime full = Start + PermitLifetime + 1s;
    BOOST_TEST(grantPermits(bucket, {4, 1}, 0, 3, full, 0).count == 0);
    BOOST_TEST(grantPermits(bucket, {4, 1}, 1, 0, full + 500ms, 0).count == 0);
    BOOST_TEST(grantPermits(bucket, {4, 1}, 1, 0, full + 750ms, 0).count == 1);
}

// Guards against rejected callers that come back all at once.
BOOST_AUTO_TEST_CASE(RejectedCallersComeBackSpreadOut)
{
    MonotonicTime nextRetry;
    BOOST_TEST(retryDelay(nextRetry, 300ms, 200ms, Start, 0).count() == 300);
    BOOST_TEST(retryDelay(nextRetry, 300ms, 200ms, Start, 0).count() == 500);
    BOOST_TEST(retryDelay(nextRetry, 300ms, 200ms, Start, 0).count() == 700);
    for (int i = 0; i < 100; ++i)
        retryDelay(nextRetry, 300ms, 200ms, Start, 0);
    BOOST_TEST(retryDelay(nextRetry, 300ms, 200ms, Start, 1).count() == 2500);
}

// Guards against messages of another daemon that end it, or that name limits that are none.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreIgnored)
{
    const MonotonicTime now = Start;
    const PermitAsk ask{{TargetId(QStringLiteral("t")), evidence(2.8, -5ms, -2ms)}, 7, 3, 1};
    const auto decoded = decodeAsk(encodeAsk(ask, now), now);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(*decoded->news.evidence.perSecond == 2.8);
    BOOST_TEST((decoded->news.evidence.asked == now - 5ms));
    BOOST_TEST(decoded->wanted == 3);
    const LimitNews end{TargetId(QStringLiteral("t")), evidence({}, -5ms, -2ms)};
    const QList<LimitNews> news = decodeNews(encodeNews({end}, now), now);
    BOOST_REQUIRE(news.size() == 1);
    BOOST_TEST((news.first().evidence.asked == now - 5ms - MaxNewsDelay));
    for (const double limit : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        const QCborArray row{QStringLiteral("t"), limit, 1, 1};
        BOOST_TEST(decodeNews(QCborArray{0, QCborArray{row}}, now).isEmpty());
    }
    BOOST_TEST(!decodeAnswer(QCborArray{3, QStringLiteral("t"), 1, 1000, 0}).has_value());
    BOOST_TEST(!decodeAnswer(QCborArray{3, QStringLiteral("t"), 1, 1, -5}).has_value());
    BOOST_TEST(!limitMessageKind(QCborArray{9}).has_value());
    BOOST_TEST(!limitMessageKind(QCborArray{}).has_value());
}
