// What a daemon that shuts down accepts, and when it ends.
#define BOOST_TEST_MODULE ShutdownPlan
#include <boost/test/unit_test.hpp>

#include "relay/RelayRequest.h"
#include "relay/RelayRoute.h"
#include "relay/ServiceDurations.h"
#include "relay/ShutdownPlan.h"

#include <limits>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};
const ServiceId Service(QStringLiteral("service"));

DurationEstimate plain(std::optional<Milliseconds> observed, bool isNew = true)
{
    return {150ms, 1200ms, observed, Tokens(0), 0, isNew};
}

} // namespace

// Guards against answers that are written when the process is killed.
BOOST_AUTO_TEST_CASE(AnswersAreDueBeforeTheProcessIsKilled)
{
    for (const Milliseconds grace : {100ms, 1000ms, 4000ms, 8000ms, 60000ms}) {
        const ShutdownPlan plan = planShutdown(Now, grace);
        BOOST_TEST((plan.began < plan.answersDue));
        BOOST_TEST((plan.answersDue < plan.exit));
        BOOST_TEST((plan.exit < Now + grace));
        // Earlier, callers do not expect that a request is cut.
        BOOST_TEST((plan.answersDue >= Now + grace * 5 / 6));
    }
    const ShutdownPlan plan = planShutdown(Now, 8000ms);
    BOOST_TEST((plan.answersDue == Now + 7500ms));
    BOOST_TEST((plan.exit == Now + 7750ms));
}

// Guards against a request that is accepted for its objective though its service takes longer.
BOOST_AUTO_TEST_CASE(RequestsTakeWhatOthersTook)
{
    BOOST_TEST((expectedDuration(plain(std::nullopt)) == 150ms));
    BOOST_TEST((expectedDuration(plain(30ms)) == 150ms));
    BOOST_TEST((expectedDuration(plain(30ms, false)) == 30ms));
    BOOST_TEST((expectedDuration(plain(900ms)) == 900ms));
    BOOST_TEST((expectedDuration(plain(900ms, false)) == 900ms));
    BOOST_TEST((expectedDuration(plain(5000ms)) == 1200ms));
    const DurationEstimate stream{1500ms, 39000ms, 400ms, Tokens(100), 12.5, true};
    BOOST_TEST((expectedDuration(stream) == 2750ms));
    const Tokens most(std::numeric_limits<qint64>::max());
    const DurationEstimate endless{1500ms, 39000ms, 400ms, most, 12.5, true};
    BOOST_TEST((expectedDuration(endless) == 39000ms));
}

BOOST_AUTO_TEST_CASE(RequestsThatOutlastTheDaemonAreFound)
{
    const ShutdownPlan plan = planShutdown(Now, 8000ms);
    BOOST_TEST(isAnsweredBeforeShutdown(plan, Now, 7499ms));
    BOOST_TEST(!isAnsweredBeforeShutdown(plan, Now, 7500ms));
    BOOST_TEST(!isAnsweredBeforeShutdown(plan, Now + 7500ms, 0ms));
}

// Guards against a mean where the longest times matter.
BOOST_AUTO_TEST_CASE(BoundsFollowTheLongestTimes)
{
    ServiceDurations durations;
    BOOST_TEST(!durations.toAnswer(Service).has_value());
    for (int i = 0; i < 100; ++i)
        durations.recordAnswer(Service, i % 10 == 0 ? 220ms : 30ms);
    BOOST_TEST((durations.toAnswer(Service) >= 190ms));
    BOOST_TEST((durations.toAnswer(Service) <= 220ms));
    for (int i = 0; i < 1000; ++i)
        durations.recordAnswer(Service, 30ms);
    BOOST_TEST((durations.toAnswer(Service) <= 31ms));
}

BOOST_AUTO_TEST_CASE(StreamsTakeTheirLongestOutput)
{
    ServiceDurations durations;
    RelayRoute route;
    route.kind = RequestKind::Stream;
    route.objective = 1500ms;
    RelayRequest request;
    request.maxOutput = Tokens(100);
    BOOST_TEST((expectedDuration(durations.estimate(Service, route, request, 39000ms)) == 2500ms));
    durations.recordPace(Service, 20);
    BOOST_TEST((expectedDuration(durations.estimate(Service, route, request, 39000ms)) == 3500ms));
    route.kind = RequestKind::AtMostOnce;
    BOOST_TEST((expectedDuration(durations.estimate(Service, route, request, 39000ms)) == 1500ms));
}
