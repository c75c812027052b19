// Tests when a daemon believes that it cannot reach the targets of a service.
#define BOOST_TEST_MODULE ServiceReach
#include <boost/test/unit_test.hpp>

#include "relay/ServiceReach.h"

using namespace cranberry;

namespace {

constexpr Milliseconds Patience{300};
const MonotonicTime Start = MonotonicTime() + std::chrono::hours(1);

MonotonicTime at(int milliseconds)
{
    return Start + Milliseconds(milliseconds);
}

ServiceReach lostAt(int milliseconds)
{
    ServiceReach reach;
    beginProbe(reach, at(milliseconds));
    recordProbeFailed(reach, at(milliseconds));
    return reach;
}

} // namespace

BOOST_AUTO_TEST_CASE(OnlyAFailedProbeMakesAServiceUnreachable)
{
    ServiceReach reach;
    BOOST_TEST(shouldProbeAfterFailure(reach, true, at(0)));
    BOOST_TEST(!reach.isUnreachable);
    beginProbe(reach, at(0));
    BOOST_TEST(recordProbeFailed(reach, at(400)));
    BOOST_TEST(reach.isUnreachable);
    BOOST_TEST(!recordProbeFailed(reach, at(900)));
}

BOOST_AUTO_TEST_CASE(AnAnswerDuringTheProbeRefutesIt)
{
    ServiceReach reach;
    beginProbe(reach, at(0));
    recordReachAnswer(reach, true, at(100));
    BOOST_TEST(!recordProbeFailed(reach, at(400)));
    BOOST_TEST(!reach.isUnreachable);
}

BOOST_AUTO_TEST_CASE(AnswersOverConnectionsFromBeforeThePartitionProveNothing)
{
    ServiceReach reach;
    beginProbe(reach, at(0));
    recordReachAnswer(reach, false, at(100));
    BOOST_TEST(recordProbeFailed(reach, at(400)));
    BOOST_TEST(!recordReachAnswer(reach, false, at(500)));
    BOOST_TEST(reach.isUnreachable);
    BOOST_TEST(recordReachAnswer(reach, true, at(600)));
    BOOST_TEST(!reach.isUnreachable);
}

BOOST_AUTO_TEST_CASE(OneFailedTargetCausesNoProbeWhileOthersAnswer)
{
    ServiceReach reach;
    recordReachAnswer(reach, true, at(0));
    BOOST_TEST(!shouldProbeAfterFailure(reach, true, at(100)));
    BOOST_TEST(shouldProbeAfterFailure(reach, true, at(400)));
    recordReachAnswer(reach, false, at(400));
    BOOST_TEST(!shouldProbeAfterFailure(reach, false, at(500)));
    BOOST_TEST(shouldProbeAfterFailure(reach, true, at(500)));
}

BOOST_AUTO_TEST_CASE(ProbesAreLimitedHoweverManyAttemptsFail)
{
    ServiceReach reach;
    int probes = 0;
    for (int time = 0; time < 10000; time += 10) {
        if (!shouldProbeAfterFailure(reach, true, at(time)))
            continue;
        ++probes;
        beginProbe(reach, at(time));
        recordReachAnswer(reach, true, at(time + 1));
        recordProbeFailed(reach, at(time + 2));
    }
    BOOST_TEST(probes <= 10);
}

BOOST_AUTO_TEST_CASE(AnUnreachableServiceIsProbedUntilItAnswers)
{
    ServiceReach reach = lostAt(0);
    int probes = 0;
    for (int time = 0; time < 10000; time += 100) {
        if (!isProbeDue(reach, at(time)))
            continue;
        ++probes;
        beginProbe(reach, at(time));
        recordProbeFailed(reach, at(time));
    }
    BOOST_TEST(probes >= 10);
    BOOST_TEST(probes <= 20);
    recordReachAnswer(reach, true, at(10000));
    BOOST_TEST(!isProbeDue(reach, at(20000)));
}

BOOST_AUTO_TEST_CASE(SilenceIsProbedUnlessTheServiceAnswers)
{
    ServiceReach reach;
    recordRequest(reach, Patience, at(0));
    recordRequest(reach, Patience, at(200));
    BOOST_TEST(!isProbeDue(reach, at(299)));
    BOOST_TEST(isProbeDue(reach, at(300)));
    recordReachAnswer(reach, false, at(250));
    BOOST_TEST(!isProbeDue(reach, at(10000)));
}

BOOST_AUTO_TEST_CASE(AnotherDaemonsReportIsVerifiedOnce)
{
    ServiceReach reach;
    recordReachAnswer(reach, true, at(0));
    BOOST_TEST(!shouldVerify(reach, at(500)));
    BOOST_TEST(shouldVerify(reach, at(1500)));
    beginProbe(reach, at(1500));
    BOOST_TEST(!shouldVerify(reach, at(1600)));
}
