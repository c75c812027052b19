// The issuer's lease with a clock that the test moves: a daemon that wakes from a pause must not
// issue on a lease that has lapsed meanwhile, and a lost answer must not cost a whole lease.
#define BOOST_TEST_MODULE IssuerLease
#include <boost/test/unit_test.hpp>

#include "base/EventLog.h"
#include "orders/IssuerLease.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"
#include "support/MemoryKeyValueStore.h"

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const QString Key = QStringLiteral("orders/bulletins/issuer");

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        setLogLevel(LogLevel::Error);
    }

    bool keyStands() const { return table->entries.contains(Key); }

    /// Lets the issuer create its key and take note of it; no time passes.
    void settle()
    {
        issuer.start();
        BOOST_REQUIRE(test::waitFor([&] { return keyStands(); }));
        constexpr int Turns = 50;
        int turns = 0;
        BOOST_REQUIRE(test::waitFor([&] { return ++turns == Turns; }));
    }

    LeaseTimes times;
    test::ManualTimers timers;
    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    test::MemoryKeyValueStore store{table};
    IssuerLease issuer{store, timers, ServiceId(QStringLiteral("bulletins")), times};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(NewHolderWaitsBeforeItIssues, Fixture)
{
    settle();
    timers.advance(takeoverDelay(times) - 1ms);
    BOOST_CHECK(!issuer.fencingNumber());
    timers.advance(1ms);
    BOOST_REQUIRE(issuer.fencingNumber());
    BOOST_CHECK(issuer.fencingNumber()->value() == table->entries[Key].revision.value());
}

BOOST_FIXTURE_TEST_CASE(HolderThatWakesFromAPauseDoesNotIssueOnTheOldLease, Fixture)
{
    settle();
    timers.advance(takeoverDelay(times));
    BOOST_REQUIRE(issuer.fencingNumber());
    // While it is paused no answer to a renewal reaches it.
    timers.advance(times.leaseDuration - times.expiryMargin - takeoverDelay(times));
    BOOST_CHECK(!issuer.fencingNumber());
}

BOOST_FIXTURE_TEST_CASE(LostAnswerToTheCreationIsSettledAtOnce, Fixture)
{
    store.loseAnswers = 1;
    settle();
    timers.advance(takeoverDelay(times));
    BOOST_CHECK(issuer.fencingNumber());
}
