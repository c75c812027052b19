// Tests for how long observed speeds of targets are used.
#define BOOST_TEST_MODULE TargetSpeedExpiry
#include <boost/test/unit_test.hpp>

#include "relay/TargetDirectory.h"
#include "relay/TargetSpeeds.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <QCborArray>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const TargetId Slow(QStringLiteral("slow"));
/// Longer than an observation is used.
constexpr Milliseconds Outdated{16000};

struct Fixture {
    Fixture()
    {
        RelayTarget target;
        target.id = Slow;
        target.service = ServiceId(QStringLiteral("plain"));
        targets.put(target);
    }

    double samples() const { return targets.find(Slow)->speed.service.samples; }

    struct Application {
        Application() { test::ensureApplication(); }
    } application;
    test::ManualTimers timers;
    TargetDirectory targets{timers};
    TargetSpeeds speeds{timers, targets};
};

} // namespace

// Guards against a target that is avoided for ever: an engine that was seen to be slow got no more
// requests, so that no observation replaced the old ones.
BOOST_FIXTURE_TEST_CASE(OwnObservationsExpire, Fixture)
{
    speeds.recordService(Slow, 900ms, 1);
    BOOST_TEST(samples() == 1);
    timers.advance(Outdated);
    (void)speeds.report();
    BOOST_TEST(samples() == 0);
}

// Guards against the same with what another daemon reported.
BOOST_FIXTURE_TEST_CASE(ReportedObservationsExpire, Fixture)
{
    test::ManualTimers otherTimers;
    TargetSpeeds other(otherTimers, targets);
    other.recordService(Slow, 900ms, 1);
    speeds.receive(VmId(QStringLiteral("other")), other.report());
    BOOST_TEST(samples() == 1);
    timers.advance(Outdated);
    (void)speeds.report();
    BOOST_TEST(samples() == 0);
}
