// The pure parts of admission: shares, lanes, wait estimate, limits, retry budget.
#define BOOST_TEST_MODULE AdmissionFairness
#include <boost/test/unit_test.hpp>

#include "admission/RetryBudget.h"
#include "admission/WaitEstimate.h"
#include "admission/WaitingLane.h"
#include "admission/WorkspaceLimiter.h"

using namespace cranberry;

namespace {

const WorkspaceId Greedy(QStringLiteral("greedy"));
const WorkspaceId Ordinary(QStringLiteral("ordinary"));
const TargetId Target(QStringLiteral("t"));
const MonotonicTime Start{std::chrono::hours(1)};

RequestId requestId(int number)
{
    return RequestId(QString::number(number));
}

AdmissionRequest request(int number, const WorkspaceId &workspace, int priority = 0)
{
    AdmissionRequest made;
    made.placement.request = requestId(number);
    made.placement.workspace = workspace;
    made.priority = priority;
    return made;
}

RequestId firstTurn(const WaitingLane &lane, const ServiceShares &shares)
{
    return nextRequests(lane, shares, 1).first().placement.request;
}

} // namespace

BOOST_AUTO_TEST_CASE(WhoeverGotLeastForItsWeightIsNext)
{
    WaitingLane lane;
    ServiceShares shares;
    insert(lane, request(1, Greedy), 1);
    insert(lane, request(2, Ordinary), 1);
    charge(shares, Greedy, Tokens(100), 1);
    charge(shares, Ordinary, Tokens(90), 1);
    BOOST_CHECK(firstTurn(lane, shares) == requestId(2));
    charge(shares, Ordinary, Tokens(60), 4);
    BOOST_CHECK(firstTurn(lane, shares) == requestId(1));
}

BOOST_AUTO_TEST_CASE(SharesFollowWeightsWhenBothAlwaysWait)
{
    ServiceShares shares;
    WaitingLane lane;
    insert(lane, request(1, Greedy), 1);
    insert(lane, request(2, Ordinary), 3);
    int ordinaryTurns = 0;
    constexpr int Turns = 400;
    for (int i = 0; i < Turns; ++i) {
        const bool ordinary = firstTurn(lane, shares) == requestId(2);
        raiseFloor(shares, ordinary ? Ordinary : Greedy);
        charge(shares, ordinary ? Ordinary : Greedy, Tokens(10), ordinary ? 3 : 1);
        ordinaryTurns += ordinary;
    }
    BOOST_TEST(std::abs(ordinaryTurns - Turns * 3 / 4) <= 2);
}

BOOST_AUTO_TEST_CASE(IdlingSavesUpNoCredit)
{
    // A workspace that slept all night would otherwise hold the service alone all morning.
    ServiceShares shares;
    charge(shares, Greedy, Tokens(10'000), 1);
    raiseFloor(shares, Greedy);
    liftToFloor(shares, Ordinary);
    BOOST_TEST(weightedTokens(shares, Ordinary) == 10'000.0);
}

BOOST_AUTO_TEST_CASE(PriorityOrdersOnlyWithinAWorkspace)
{
    WaitingLane lane;
    ServiceShares shares;
    charge(shares, Greedy, Tokens(100), 1);
    insert(lane, request(1, Greedy), 1);
    insert(lane, request(2, Greedy, 9), 1);
    insert(lane, request(3, Ordinary), 1);
    const QList<AdmissionRequest> order = nextRequests(lane, shares, 5);
    BOOST_REQUIRE(order.size() == 2);
    BOOST_CHECK(order[0].placement.request == requestId(3));
    BOOST_CHECK(order[1].placement.request == requestId(2));
    remove(lane, Greedy, requestId(2));
    remove(lane, Greedy, requestId(2));
    BOOST_CHECK(nextRequests(lane, shares, 5)[1].placement.request == requestId(1));
    BOOST_TEST(lane.size == 2);
}

BOOST_AUTO_TEST_CASE(OnlyTheFairPartOfAGreedyQueueIsAhead)
{
    WaitingLane lane;
    for (int i = 0; i < 50; ++i)
        insert(lane, request(i, Greedy), 1);
    BOOST_TEST(requestsAhead(lane, Ordinary, 1) == 2.0);
    BOOST_TEST(requestsAhead(lane, Greedy, 1) == 51.0);
    BOOST_CHECK(workspaceToEvict(lane, Ordinary, 1) == Greedy);
    BOOST_TEST(workspaceToEvict(lane, Greedy, 1).isEmpty());
}

BOOST_AUTO_TEST_CASE(WaitIsExpectedFromPlacementsInBusyTime)
{
    WaitEstimate estimate;
    MonotonicTime now = Start;
    recordTime(estimate, now, false);
    BOOST_TEST(!expectedWait(estimate, 1).has_value());
    for (int i = 0; i < 100; ++i) {
        now += Milliseconds(100);
        recordTime(estimate, now, true);
        recordPlacement(estimate);
    }
    const qint64 busy = expectedWait(estimate, 10).value().count();
    BOOST_TEST(std::abs(busy - 1000) < 50);
    recordTime(estimate, now + Milliseconds(60'000), false);
    BOOST_TEST(expectedWait(estimate, 10).value().count() == busy);
}

BOOST_AUTO_TEST_CASE(ConcurrencyLimitIsFreedByTheEndOfARequest)
{
    WorkspaceLimiter limiter;
    const WorkspaceLimits limits{2, 0};
    BOOST_TEST(!acquireSlot(limiter, requestId(1), Greedy, limits, Start).has_value());
    BOOST_TEST(!acquireSlot(limiter, requestId(2), Greedy, limits, Start).has_value());
    const std::optional<Error> error = acquireSlot(limiter, requestId(3), Greedy, limits, Start);
    BOOST_REQUIRE(error.has_value());
    BOOST_CHECK(error->kind == ErrorKind::OverLimit);
    BOOST_CHECK(error->ran == Ran::No);
    releaseSlot(limiter, requestId(1));
    releaseSlot(limiter, requestId(1));
    BOOST_TEST(!acquireSlot(limiter, requestId(3), Greedy, limits, Start).has_value());
    BOOST_TEST(acquireSlot(limiter, requestId(4), Greedy, limits, Start).has_value());
}

BOOST_AUTO_TEST_CASE(RateLimitFillsWithTime)
{
    WorkspaceLimiter limiter;
    const WorkspaceLimits limits{0, 2};
    int passed = 0;
    for (int i = 0; i < 10; ++i)
        passed += !acquireSlot(limiter, requestId(i), Greedy, limits, Start).has_value();
    BOOST_TEST(passed == 2);
    BOOST_TEST(!acquireSlot(limiter, requestId(20), Greedy, limits, Start + Milliseconds(500)));
    BOOST_TEST(
        acquireSlot(limiter, requestId(21), Greedy, limits, Start + Milliseconds(500)).has_value());
}

BOOST_AUTO_TEST_CASE(RetriesStayUnderATenthOfFirstAttempts)
{
    // Every request fails and every caller's request is retried: without a budget the load
    // doubles just when there is least room.
    RetryBudget budget;
    int retries = 0;
    constexpr int Attempts = 2000;
    for (int i = 0; i < Attempts; ++i) {
        addFirstAttempt(budget, Greedy, Target);
        retries += takeRetry(budget, Greedy, Target);
    }
    BOOST_TEST(retries <= Attempts / 10 + 3);
    BOOST_TEST(retries >= Attempts / 10 - 1);
}

BOOST_AUTO_TEST_CASE(SpentTargetBudgetCostsTheWorkspaceNothing)
{
    RetryBudget budget;
    while (takeRetry(budget, Greedy, Target)) { }
    BOOST_TEST(!takeRetry(budget, Ordinary, Target));
    int left = 0;
    while (takeRetry(budget, Ordinary, TargetId(QStringLiteral("other%1").arg(left))))
        ++left;
    BOOST_TEST(left == 3);
}
