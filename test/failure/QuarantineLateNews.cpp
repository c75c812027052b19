// Two daemons whose news of suspects arrives late.
#define BOOST_TEST_MODULE QuarantineLateNews
#include <boost/test/unit_test.hpp>

#include "support/SuspectFleet.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

/// The targets that a request may crash before it is held back.
constexpr int MostCrashes = 2;

void checkPairs(Milliseconds delay, Milliseconds crashesAfter)
{
    const SuspectResults results = runSuspectPairs(delay, crashesAfter);
    BOOST_TEST(results.unfinished == 0);
    BOOST_TEST(results.mostCrashes == MostCrashes);
    BOOST_TEST(results.ordinaryHeldBack == 0);
}

} // namespace

// Two daemons place suspects at one target before either has heard of the other, and hear of it
// before the target crashes. That then blames neither, and the request takes further targets.
BOOST_AUTO_TEST_CASE(NewsOfAReservationComesAfterTheProbationHasStarted)
{
    checkPairs(Milliseconds(400), Milliseconds(600));
}

// They hear of each other only after the crash. Each blames its own request, so that an ordinary
// one is held back.
BOOST_AUTO_TEST_CASE(NewsOfAReservationComesAfterTheCrash)
{
    checkPairs(Milliseconds(1000), Milliseconds(200));
}
