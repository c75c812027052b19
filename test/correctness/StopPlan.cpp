// How orders to stop a generation are repeated.
#define BOOST_TEST_MODULE StopPlan
#include <boost/test/unit_test.hpp>

#include "relay/MoveOutcome.h"
#include "relay/StopPlan.h"

using namespace cranberry;

namespace {

/// Two engines may run one generation for this long.
constexpr Milliseconds MaxOverlap{400};

StopAnswer answerOf(MoveOutcome::Kind kind, const QByteArray &handle = {})
{
    MoveOutcome outcome;
    outcome.kind = kind;
    outcome.handle = handle;
    return stopAnswer(outcome);
}

int ordersWithin(StopAnswer answer, Milliseconds limit)
{
    int orders = 1;
    for (Milliseconds age{0}; age < limit; ++orders)
        age += nextStopDelay(answer, orders);
    return orders;
}

} // namespace

// Guards against a stop that ends too early: only these answers say that the generation has ended.
BOOST_AUTO_TEST_CASE(EndIsShownByTheAnswer)
{
    using Kind = MoveOutcome::Kind;
    BOOST_TEST(hasEnded(answerOf(Kind::Copied, "copy")));
    BOOST_TEST(hasEnded(answerOf(Kind::Copied)));
    BOOST_TEST(hasEnded(answerOf(Kind::NoRoom, "copy")));
    BOOST_TEST(hasEnded(answerOf(Kind::NoSuchRun)));
    BOOST_TEST(!hasEnded(answerOf(Kind::NoRoom)));
    BOOST_TEST(!hasEnded(answerOf(Kind::Busy)));
    BOOST_TEST(!hasEnded(answerOf(Kind::NotSent)));
    BOOST_TEST(!hasEnded(answerOf(Kind::Unknown)));
}

// Guards against a second order that comes too late if the first is lost.
BOOST_AUTO_TEST_CASE(OrdersAreRepeatedInTime)
{
    for (const StopAnswer answer :
         {StopAnswer::Copying, StopAnswer::NotDelivered, StopAnswer::Unclear, StopAnswer::Pending})
        BOOST_TEST(ordersWithin(answer, MaxOverlap) >= 3);
    // A copy may end at any time.
    BOOST_TEST(ordersWithin(StopAnswer::Copying, MaxOverlap) >= 10);
}

// Guards against load on an engine that cannot be reached or answers nothing usable for a minute.
BOOST_AUTO_TEST_CASE(OrdersBecomeRare)
{
    for (const StopAnswer answer :
         {StopAnswer::Copying, StopAnswer::NotDelivered, StopAnswer::Unclear, StopAnswer::Pending})
        BOOST_TEST(ordersWithin(answer, Milliseconds(60000)) <= 130);
}
