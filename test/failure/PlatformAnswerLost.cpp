// Guards against a write that is executed twice: the write reaches the platform's store and takes
// effect, but its answer is lost. A client that reports such a write as NotWritten makes its caller
// decide as if nothing were written. A broken or timed-out write must come back as Unknown, and a
// further read must return its result.
#define BOOST_TEST_MODULE PlatformAnswerLost
#include <boost/test/unit_test.hpp>

#include "platformstore/HttpKeyValueStore.h"
#include "support/EventLoop.h"
#include "support/StandinProcess.h"
#include "support/StoreCalls.h"

using namespace cranberry;

namespace {

struct Fixture {
    test::StandinProcess platform{QStringLiteral("platform")};
    QtTimerService timers;
    HttpKeyValueStore store{timers, platform.endpoint(), Milliseconds(300)};
    test::StoreCalls calls{store};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnswerLostAfterTheWriteIsUnknownAndARereadShowsIt, Fixture)
{
    platform.setFaults({{"lose_answers", 1}});
    BOOST_CHECK(calls.swap("k", Revision(0), "mine").outcome == SwapOutcome::Unknown);
    BOOST_CHECK(calls.read("k").value().value == "mine");
    BOOST_CHECK(calls.swap("k", Revision(0), "again").outcome == SwapOutcome::Conflict);
}

BOOST_FIXTURE_TEST_CASE(LostAnswersCanBeLimitedToAPrefix, Fixture)
{
    platform.setFaults({{"lose_answers", 1}, {"lose_answers_under", "a/"}});
    BOOST_CHECK(calls.swap("b/k", Revision(0), "1").outcome == SwapOutcome::Swapped);
    BOOST_CHECK(calls.swap("a/k", Revision(0), "1").outcome == SwapOutcome::Unknown);
    BOOST_CHECK(calls.swap("a/l", Revision(0), "1").outcome == SwapOutcome::Swapped);
}

BOOST_FIXTURE_TEST_CASE(WriteThatTimesOutIsUnknownAndMayAppearLater, Fixture)
{
    platform.setFaults({{"delay_ms", 600}});
    BOOST_CHECK(calls.swap("k", Revision(0), "late").outcome == SwapOutcome::Unknown);
    platform.setFaults({{"delay_ms", 0}});
    BOOST_CHECK(test::waitFor([&] { return calls.read("k").value().value == "late"; }));
}

BOOST_FIXTURE_TEST_CASE(ServiceThatClosesWithoutAnAnswerIsUnknownForWritesAndAnErrorForReads,
                        Fixture)
{
    platform.setFaults({{"down", true}});
    BOOST_CHECK(calls.swap("k", Revision(0), "1").outcome == SwapOutcome::Unknown);
    const Result<KeyValue> read = calls.read("k");
    BOOST_REQUIRE(!read);
    BOOST_CHECK(read.error().kind == ErrorKind::PlatformUnavailable);
    platform.setFaults({{"down", false}});
    BOOST_CHECK(calls.read("k").value().revision == Revision(0));
}

BOOST_FIXTURE_TEST_CASE(ServiceThatIsNotReachedMeansNotDone, Fixture)
{
    quint16 closedPort = 0;
    {
        const test::StandinProcess stopped(QStringLiteral("platform"));
        closedPort = stopped.endpoint().port;
    }
    HttpKeyValueStore unreachable(timers, {QStringLiteral("127.0.0.1"), closedPort});
    test::StoreCalls unreachableCalls(unreachable);
    BOOST_CHECK(unreachableCalls.swap("k", Revision(0), "1").outcome == SwapOutcome::NotWritten);
    BOOST_CHECK(!unreachableCalls.read("k"));
}
