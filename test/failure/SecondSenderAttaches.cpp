// A caller that sends its request again through another VM gets the answer of the one run.
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

constexpr int LongAnswer = 300;
/// Shorter than what a follower waits for before it gives its holder up.
constexpr Milliseconds ShortPause{800};

/// A prompt whose answer is as long as the bound.
QString longPrompt()
{
    for (int i = 0;; ++i) {
        QString prompt = QStringLiteral("recap %1").arg(i);
        if (answerLength(AnswerLengths(), promptHash(prompt), LongAnswer) == LongAnswer)
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
        return fleet.complete(daemon, prompt, LongAnswer, headers);
    }

    void checkWhole(const FleetStream &stream)
    {
        BOOST_CHECK_MESSAGE(stream.isWhole(), stream.response().body.right(400).constData());
        BOOST_TEST(stream.tokenCount() == LongAnswer);
        BOOST_CHECK(checkAnswer(prompt, stream.answer().texts()) == AnswerFault::None);
    }

    Fleet fleet;
    QString prompt;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WhileItRunsAndAfterwards, Fixture)
{
    // A broker's connection breaks and its client sends the recap again; the balancer picks
    // another VM. Refused, the broker would have no recap; run again, there would be two.
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
    // The first connection is gone for good when the second send arrives.
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
    // The VM that runs the recap dies while the second sender follows. The answer cannot be
    // completed; the caller is told so and nothing of another run is put behind it.
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
    // The VM that runs the recap is frozen for a moment. Asks repeat meanwhile and are all
    // answered afterwards; doubled events must not reach the caller.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitForTokens(20));
    fleet.daemon(0).pause();
    const auto wake =
        fleet.client().timers().after(ShortPause, [this] { fleet.daemon(0).resume(); });
    BOOST_REQUIRE(second->waitOver());
    BOOST_REQUIRE(first->waitOver());
    checkWhole(*first);
    checkWhole(*second);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}

BOOST_FIXTURE_TEST_CASE(HolderShutsDown, Fixture)
{
    // The VM that runs the recap is replaced in good order, and the one that follows it is
    // behind, frozen for a moment. The holder may not go before its followers have everything.
    const Stream first = send(0);
    BOOST_REQUIRE(first->waitForTokens(20));
    const Stream second = send(1);
    BOOST_REQUIRE(second->waitForTokens(LongAnswer - 60));
    fleet.daemon(1).pause();
    fleet.daemon(0).terminate();
    BOOST_REQUIRE(first->waitOver());
    const auto wake =
        fleet.client().timers().after(ShortPause, [this] { fleet.daemon(1).resume(); });
    BOOST_REQUIRE(second->waitOver());
    checkWhole(*first);
    checkWhole(*second);
    BOOST_REQUIRE(fleet.daemon(0).waitEnded());
    BOOST_TEST(fleet.daemon(0).exitCode() == 0);
    BOOST_TEST(fleet.runsOf(prompt) == 1);
}
