// Tests the pauses that targets ask for and the return of the load after them, without a network.
#define BOOST_TEST_MODULE TargetPauses
#include <boost/test/unit_test.hpp>

#include "relay/AvailabilityNotice.h"
#include "relay/TargetAvailability.h"
#include "support/ManualTimers.h"
#include "support/PauseSimulation.h"

using namespace cranberry;
using namespace std::chrono_literals;
using test::PausePolicy;

namespace {

const TargetId First(QStringLiteral("first"));
const TargetId Second(QStringLiteral("second"));
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr unsigned Seeds = 5;

TargetCall callTo(const TargetId &target, CallPurpose purpose = CallPurpose::Request)
{
    return {target, {}, purpose};
}

AvailabilityNotice pauseOf(Milliseconds duration)
{
    AvailabilityNotice notice;
    notice.isRejection = true;
    notice.pause = duration;
    return notice;
}

struct Fixture {
    bool mayStart(const TargetId &target = First) const
    {
        return availability.mayCall(target, CallPurpose::Request);
    }
    void pause(Milliseconds duration)
    {
        availability.recordAnswer(callTo(First), StatusUnavailable, pauseOf(duration));
    }
    void accept() { availability.recordAnswer(callTo(First), StatusOk, AvailabilityNotice()); }

    test::ManualTimers timers;
    int running = 0;
    TargetAvailability availability{timers, [this](const TargetId &) { return running; }};
};

} // namespace

// Guards against a request that is started at a paused target.
BOOST_FIXTURE_TEST_CASE(APausedTargetStartsNothing, Fixture)
{
    pause(3000ms);
    BOOST_TEST(!mayStart());
    BOOST_TEST(mayStart(Second));
    BOOST_TEST(availability.notStarting().contains(First));
    BOOST_TEST(!availability.begin(callTo(First)).has_value());
    BOOST_TEST(!availability.mayCall(First, CallPurpose::Reservation));
    BOOST_TEST(!availability.mayCall(First, CallPurpose::Report));
    BOOST_TEST(!availability.mayCall(First, CallPurpose::ReachProbe));
    timers.advance(2999ms);
    BOOST_TEST(!mayStart());
    timers.advance(1ms);
    BOOST_TEST(mayStart());
}

// Guards against a shorter pause that ends a longer one.
BOOST_FIXTURE_TEST_CASE(AShorterPauseDoesNotEndALongerOne, Fixture)
{
    pause(4000ms);
    timers.advance(500ms);
    pause(600ms);
    BOOST_TEST(availability.untilResumed(First).count() == 3500);
    pause(20'000ms);
    BOOST_TEST(availability.untilResumed(First).count() == 20'000);
}

// Guards against more than two calls to a paused target that cannot wait.
BOOST_FIXTURE_TEST_CASE(TwoCallsThatCannotWaitReachAPausedTarget, Fixture)
{
    pause(4000ms);
    int made = 0;
    for (int i = 0; i < 5; ++i) {
        made += availability.begin(callTo(First, CallPurpose::Continuation)) ? 1 : 0;
        made += availability.begin(callTo(First, CallPurpose::CrashProbe)) ? 1 : 0;
        pause(4000ms + i * 100ms);
    }
    BOOST_TEST(made == MaxPauseExceptions);
}

// Guards against the whole load of a daemon in one moment after a pause.
BOOST_FIXTURE_TEST_CASE(TheLoadReturnsInSteps, Fixture)
{
    running = 8;
    pause(300ms);
    timers.advance(300ms);
    std::vector<TargetAvailability::PendingAnswer> pending;
    const auto startAll = [&] {
        int started = 0;
        for (; mayStart() && started < 100; ++started)
            pending.push_back(*availability.begin(callTo(First)));
        return started;
    };
    for (const int expected : {1, 2, 4, 4}) {
        BOOST_TEST(startAll() == expected);
        pending.clear();
        accept();
    }
    for (int expected = 5; expected < MaxReturning; ++expected) {
        timers.advance(300ms);
        accept();
        BOOST_TEST(startAll() == expected);
        pending.clear();
    }
    timers.advance(300ms);
    accept();
    BOOST_TEST(startAll() == 100);
}

// Guards against a target that is never used again as a request to it was cancelled.
BOOST_FIXTURE_TEST_CASE(ACancelledRequestDoesNotCount, Fixture)
{
    pause(300ms);
    timers.advance(300ms);
    availability.begin(callTo(First));
    BOOST_TEST(mayStart());
    auto pending = availability.begin(callTo(First));
    BOOST_TEST(!mayStart());
    pause(300ms);
    pending.reset();
    timers.advance(300ms);
    BOOST_TEST(mayStart());
    const auto next = availability.begin(callTo(First));
    BOOST_TEST(!mayStart());
}

// Guards against an answer of another target that speaks for this one.
BOOST_FIXTURE_TEST_CASE(AnotherTargetDoesNotSpeakForThisOne, Fixture)
{
    AvailabilityNotice notice = pauseOf(3000ms);
    notice.isOther = true;
    notice.isLeaving = true;
    availability.recordAnswer(callTo(First), StatusUnavailable, notice);
    BOOST_TEST(mayStart());
    BOOST_TEST(!availability.hasSaidLeaving(First));
}

// Guards against waiting requests that are not told of the end of a pause.
BOOST_FIXTURE_TEST_CASE(TheEndOfAPauseIsTold, Fixture)
{
    int told = 0;
    availability.onChanged([&] { ++told; });
    pause(300ms);
    timers.advance(200ms);
    pause(86'400'000ms);
    timers.advance(200ms);
    BOOST_TEST(told == 0);
    timers.advance(86'400'000ms);
    BOOST_TEST(told == 1);
}

// Guards against a target that says that it leaves and is forgotten while its entry is missing.
BOOST_FIXTURE_TEST_CASE(LeavingIsKeptWhileTheEntryIsMissing, Fixture)
{
    int told = 0;
    availability.onLeaving([&](const TargetId &) { ++told; });
    AvailabilityNotice notice;
    notice.isLeaving = true;
    for (int i = 0; i < 3; ++i)
        availability.recordAnswer(callTo(First), StatusOk, notice);
    BOOST_TEST(told == 1);
    timers.advance(300'000ms);
    availability.forgetGone([](const TargetId &) { return false; });
    BOOST_TEST(!mayStart());
    BOOST_TEST(availability.mayCall(First, CallPurpose::Continuation));
    timers.advance(600'000ms);
    availability.forgetGone([](const TargetId &) { return false; });
    BOOST_TEST(mayStart());
}

// Guards against pauses that break the bound or cost callers, from 2 to 800 daemons.
BOOST_AUTO_TEST_CASE(PausesAreKeptInFleetsOfAnySize)
{
    struct Fleet {
        int daemons;
        int targets;
        int inTrouble;
    };
    for (const auto &[fleet, doAllAsk] :
         {std::pair(Fleet{2, 4, 1}, false), std::pair(Fleet{2, 4, 1}, true),
          std::pair(Fleet{9, 4, 1}, false), std::pair(Fleet{9, 4, 1}, true),
          std::pair(Fleet{16, 8, 2}, false), std::pair(Fleet{16, 8, 2}, true),
          std::pair(Fleet{100, 12, 2}, false), std::pair(Fleet{100, 12, 2}, true),
          std::pair(Fleet{800, 40, 4}, false), std::pair(Fleet{800, 40, 4}, true)}) {
        for (const PausePolicy policy :
             {PausePolicy::Ignore, PausePolicy::Weight, PausePolicy::Exclude,
              PausePolicy::ExcludeAndDouble, PausePolicy::ExcludeAndReturn, PausePolicy::Shared}) {
            test::PauseOutcome sum;
            const unsigned seeds = fleet.daemons > 100 ? 1 : Seeds;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                test::PauseScenario scenario;
                scenario.policy = policy;
                scenario.daemons = fleet.daemons;
                scenario.targets = fleet.targets;
                scenario.inTrouble = fleet.inTrouble;
                scenario.doAllAsk = doAllAsk;
                const test::PauseOutcome outcome = test::simulatePauses(scenario, seed);
                sum.requests += outcome.requests;
                sum.served += outcome.served;
                sum.rejections += outcome.rejections;
                sum.mostInPause = std::max(sum.mostInPause, outcome.mostInPause);
                sum.servedAfter += outcome.servedAfter / seeds;
            }
            BOOST_TEST_MESSAGE(fleet.daemons
                               << " daemons, " << fleet.inTrouble << " of " << fleet.targets
                               << " targets, " << (doAllAsk ? "all ask, " : "")
                               << test::pausePolicyName(policy) << ": served "
                               << double(sum.served) / sum.requests << ", " << sum.rejections
                               << " rejections, at most " << sum.mostInPause
                               << " in a pause, served after " << sum.servedAfter);
            if (policy != PausePolicy::ExcludeAndReturn)
                continue;
            BOOST_TEST(sum.mostInPause <= MaxPauseExceptions);
            BOOST_TEST(double(sum.served) / sum.requests >= 0.97);
            BOOST_TEST(sum.servedAfter >= 0.99);
        }
    }
}
