// The times by which holders of an issuer's lease keep apart, with clocks of different speeds.
#define BOOST_TEST_MODULE LeaseTiming
#include <boost/test/unit_test.hpp>

#include "orders/LeaseTiming.h"

#include <cmath>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

/// How long after the grant the last order of a holder may reach a target, in real time, if its
/// clock is slow by @p drift and it is paused for @p pause between its last look and the send.
Milliseconds lastArrival(const LeaseTimes &times, double drift, Milliseconds pause)
{
    const MonotonicTime asked{1h};
    Milliseconds own{0};
    while (mayIssue(times, asked, asked + own + 1ms))
        own += 1ms;
    const Milliseconds real(std::llround(std::floor(double(own.count()) / (1 - drift))));
    return real + pause + times.maxOrderDelay;
}

/// How long after the grant before it a successor may issue, at the earliest.
Milliseconds firstSendOfSuccessor(const LeaseTimes &times)
{
    return times.leaseDuration + takeoverDelay(times);
}

} // namespace

BOOST_AUTO_TEST_CASE(HolderStopsEarlyAndCountsFromBeforeItAsked)
{
    const LeaseTimes times;
    const MonotonicTime asked{1h};
    const MonotonicTime end = asked + times.leaseDuration - times.expiryMargin;
    BOOST_CHECK(mayIssue(times, asked, end - 1ms));
    BOOST_CHECK(!mayIssue(times, asked, end));
}

BOOST_AUTO_TEST_CASE(SuccessorSendsAfterTheLastOrderOfASlowAndPausedHolder)
{
    const LeaseTimes times;
    for (const Milliseconds pause : {0ms, 500ms, 1000ms}) {
        for (const double drift : {0.0, 0.0005, 0.001, 0.01})
            BOOST_CHECK(lastArrival(times, drift, pause) < firstSendOfSuccessor(times));
    }
}

BOOST_AUTO_TEST_CASE(WithoutTheMarginASlowHolderThatIsPausedOverlaps)
{
    LeaseTimes times;
    times.driftMargin = 0;
    constexpr double Drift = 0.01;
    BOOST_CHECK(lastArrival(times, Drift, times.expiryMargin) > firstSendOfSuccessor(times));
    // The early stop alone covers a slow clock, and the margin is for when a pause used it up.
    BOOST_CHECK(lastArrival(times, Drift, 0ms) < firstSendOfSuccessor(times));
}
