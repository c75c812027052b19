// Tests two daemons whose notifications of suspects arrive late.
#define BOOST_TEST_MODULE QuarantineLateNews
#include <boost/test/unit_test.hpp>

#include "support/SuspectFleet.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

/// The number of targets that a request may crash before it is quarantined.
constexpr int MaxCrashes = 2;

void checkSuspectPairs(Milliseconds notificationDelay, Milliseconds crashDelay)
{
    const SuspectResults results = runSuspectPairs(notificationDelay, crashDelay);
    BOOST_TEST(results.unfinished == 0);
    BOOST_TEST(results.mostCrashes == MaxCrashes);
    BOOST_TEST(results.ordinaryHeldBack == 0);
}

} // namespace

// Guards against a target that crashes under two suspects: two daemons send suspects to one target
// before either has been notified of the other, and both are notified before the target crashes.
// The crash then confirms neither suspect, and the request crashes further targets.
BOOST_AUTO_TEST_CASE(NewsOfAReservationComesAfterTheProbationHasStarted)
{
    checkSuspectPairs(Milliseconds(400), Milliseconds(600));
}

// Guards against an ordinary request in quarantine: the two daemons are notified of each other only
// after the crash. Each attributes the crash to its own request, so that an ordinary one is
// quarantined.
BOOST_AUTO_TEST_CASE(NewsOfAReservationComesAfterTheCrash)
{
    checkSuspectPairs(Milliseconds(1000), Milliseconds(200));
}
