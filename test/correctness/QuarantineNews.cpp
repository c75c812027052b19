// Two daemons whose news of suspects is in time.
#define BOOST_TEST_MODULE QuarantineNews
#include <boost/test/unit_test.hpp>

#include "support/SuspectFleet.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

/// The targets that a request may crash before it is held back.
constexpr int MostCrashes = 2;

} // namespace

BOOST_AUTO_TEST_CASE(RequestCrashesTwoTargetsAndNoOtherIsHeldBack)
{
    const SuspectResults results = runSuspectPairs(Milliseconds(100), Milliseconds(600));
    BOOST_TEST(results.unfinished == 0);
    BOOST_TEST(results.mostCrashes == MostCrashes);
    BOOST_TEST(results.ordinaryHeldBack == 0);
}
