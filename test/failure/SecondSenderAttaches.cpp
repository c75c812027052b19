// Tests that a caller that sends its request again through another VM gets the answer of the one
// run.
#define BOOST_TEST_MODULE SecondSenderAttaches
#include <boost/test/unit_test.hpp>

#include "base/TimerSubscription.h"
#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QJsonArray>

using namespace cranberry;
using namespace cranberry::test;

namespace {

using Stream = std::unique_ptr<FleetStream>;

constexpr int LongAnswerTokens = 300;
/// Shorter than a follower's timeout, after which it gives its holder up.
constexpr Milliseconds ShortPause{800};

/// Returns a prompt whose answer has the maximum length.
QString longPrompt()
{
    for (int i = 0;; ++i) {
        QString prompt = QStringLiteral("recap %1").arg(i);
        if (answerLength(AnswerLengths(), promptHash(prompt), LongAnswerTokens) == LongAnswerTokens)
            return prompt;
    }
}

FleetPlan plan()
{
    FleetPlan plan;
    plan.daemons = 2;
    plan.engines = 1;
    plan.daemonSettings = {
        {QStringLiteral("limits"), QJsonObject{{QStringLiteral("drain_listen_ms"), 200}}}};
    return plan;
}

struct Fixture {
    Fixture()
        : fleet(plan())
        , prompt(longPrompt())
    {
        BOOST_REQUIRE(fleet.start());
        BOOST_REQUIRE(
            waitFor([this] { return fleet.aliveMembers(0) == 2 && fleet.aliveMembers(1) == 2; }));
    }

    Stream send(int daemon)
    {
        HttpHeaders headers = fleet.caller();
        headers.add("Idempotency-Key", "recap");
        headers.add("Cranberry-Idempotent", "no");
        return fleet.complete(daemon, prompt, LongAnswerTokens, headers);
    }

    void checkWhole(const FleetStream &stream)
    {
        BOOST_CHECK_MESSAGE(stream.isWhole(), stream.response().body.right(400).constData());
        BOOST_TEST(stream.tokenCount() == LongAnswerTokens);
        BOOST_CHECK(checkAnswer(prompt, stream.answer().texts()) == AnswerFault::None);
    }

    Fleet fleet;
    QString prompt;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WhileItRunsAndAfterwards, Fixture)
{
    // A caller's connection breaks, and its client sends the request again; the balancer picks
    // another VM. A refusal would leave the caller without an answer, and a second run would give
    // two.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(first->waitOver());
    BOOST_REQUIRE(second->waitOver());
    const Stream third = send(1);
    BOOST_REQUIRE(third->waitOver());
    checkWhole(*first);
    checkWhole(*second);
    checkWhole(*third);
    BOOST_CHECK(first->answer().texts() == second->answer().texts());
    BOOST_CHECK(first->answer().texts() == third->answer().texts());
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_FIXTURE_TEST_CASE(FirstCallerLeft, Fixture)
{
    // The first connection is closed for good when the second request arrives.
    Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    first.reset();
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitOver());
    checkWhole(*second);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_FIXTURE_TEST_CASE(HolderDies, Fixture)
{
    // The VM that runs the request fails while the second sender follows. The answer cannot be
    // completed; the caller gets an error, and nothing of another run is appended.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitForTokens(20));
    fleet.daemon(0).kill();
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(!second->isWhole());
    const QJsonObject error = second->answer().error();
    BOOST_TEST(error[QLatin1String("kind")].toString().toStdString() == "generation_lost");
    BOOST_TEST(error[QLatin1String("ran")].toString().toStdString() == "yes");
    BOOST_TEST(second->answer().idsAreConsecutive());
    BOOST_CHECK(checkAnswer(prompt, second->answer().texts()) == AnswerFault::None);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_FIXTURE_TEST_CASE(HolderIsPaused, Fixture)
{
    // The VM that runs the request is paused briefly. Requests for events are repeated meanwhile
    // and all answered afterwards; duplicated events must not reach the caller.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitForTokens(20));
    fleet.daemon(0).pause();
    const auto resumeTimer =
        fleet.client().timers().after(ShortPause, [this] { fleet.daemon(0).resume(); });
    BOOST_REQUIRE(second->waitOver());
    BOOST_REQUIRE(first->waitOver());
    checkWhole(*first);
    checkWhole(*second);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_FIXTURE_TEST_CASE(HolderShutsDown, Fixture)
{
    // The VM that runs the request shuts down gracefully, and the VM that follows it is behind
    // because it is paused briefly. The holder must not end before its followers have every event.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitForTokens(LongAnswerTokens - 60));
    fleet.daemon(1).pause();
    fleet.daemon(0).terminate();
    BOOST_REQUIRE(first->waitOver());
    const auto resumeTimer =
        fleet.client().timers().after(ShortPause, [this] { fleet.daemon(1).resume(); });
    BOOST_REQUIRE(second->waitOver());
    checkWhole(*first);
    checkWhole(*second);
    BOOST_REQUIRE(fleet.daemon(0).waitEnded());
    BOOST_TEST(fleet.daemon(0).exitCode() == 0);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}
