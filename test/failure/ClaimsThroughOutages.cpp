// Guards against a request that runs twice: its caller sends it to two entry daemons while the
// platform's store loses an answer, is slow or is down. If a daemon takes a lost answer for a lost
// claim, or a claim it cannot see for a free key, both daemons run the request. With the store as a
// process of its own, each key may be won once, and a refusal may be followed by a later win only
// under another attempt.
#define BOOST_TEST_MODULE ClaimsThroughOutages
#include <boost/test/unit_test.hpp>

#include "base/EventLog.h"
#include "claims/ClaimSegment.h"
#include "claims/ClaimStore.h"
#include "platformstore/HttpKeyValueStore.h"
#include "support/EventLoop.h"
#include "support/FixedMembers.h"
#include "support/QuietPeers.h"
#include "support/StandinProcess.h"

#include <QCryptographicHash>

using namespace cranberry;

namespace {

using Decision = Result<ClaimDecision>;

constexpr Milliseconds CallTimeout{300};

QByteArray keyOf(int number)
{
    return QCryptographicHash::hash(QByteArray::number(number), QCryptographicHash::Sha256);
}

/// Returns the number of another key in the same shard.
int otherKeyInShard(int number)
{
    int other = number + 1;
    while (shardOfClaim(keyOf(other)) != shardOfClaim(keyOf(number)))
        ++other;
    return other;
}

ClaimSettings testSettings()
{
    ClaimSettings settings;
    settings.maxSegmentClaims = 3;
    settings.releaseRetryBackoff = Milliseconds(20);
    return settings;
}

/// The claims of one entry daemon that is connected to no other.
struct EntryDaemon {
    EntryDaemon(const test::StandinProcess &platform, TimerService &timers, const char *vm)
        : store(timers, platform.endpoint(), CallTimeout)
        , members(VmId(vm), {VmId(vm)})
        , claims({store, timers, members, peers}, testSettings())
    {
    }

    HttpKeyValueStore store;
    test::QuietPeers peers;
    test::FixedMembers members;
    ClaimStore claims;
};

struct Fixture {
    Fixture() { setLogLevel(LogLevel::Error); }

    Decision claim(EntryDaemon &daemon, int key, const char *attempt)
    {
        std::optional<Decision> decision;
        daemon.claims.claim(keyOf(key), "fingerprint", AttemptId(attempt),
                            [&](const Decision &answer) { decision = answer; });
        BOOST_REQUIRE(test::waitFor([&] { return decision.has_value(); }));
        return *decision;
    }

    static bool isWon(const Decision &decision)
    {
        return decision && decision.value().kind == ClaimDecision::Kind::Won;
    }

    test::StandinProcess platform{QStringLiteral("platform")};
    QtTimerService timers;
    EntryDaemon first{platform, timers, "vm1"};
    EntryDaemon second{platform, timers, "vm2"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ClaimWithALostAnswerIsWonAndTheOtherDaemonSeesIt, Fixture)
{
    platform.setFaults({{"lose_answers", 1}, {"lose_answers_under", "claims/"}});
    BOOST_CHECK(isWon(claim(first, 1, "a1")));
    const Decision other = claim(second, 1, "a2");
    BOOST_REQUIRE(other);
    BOOST_CHECK(other.value().kind == ClaimDecision::Kind::Held);
    BOOST_CHECK(other.value().holder == VmId("vm1"));
    BOOST_CHECK(other.value().holderAttempt == AttemptId("a1"));
    BOOST_CHECK(other.value().holderFingerprint == "fingerprint");
}

BOOST_FIXTURE_TEST_CASE(ServiceThatIsDownMeansARefusalThatDidNotRun, Fixture)
{
    platform.setFaults({{"down", true}});
    const Decision refused = claim(first, 1, "a1");
    BOOST_REQUIRE(!refused);
    BOOST_CHECK(refused.error().kind == ErrorKind::PlatformUnavailable);
    BOOST_CHECK(refused.error().ran == Ran::No);
    platform.setFaults({{"down", false}});
    BOOST_CHECK(isWon(claim(second, 1, "a2")));
}

BOOST_FIXTURE_TEST_CASE(ClaimThatWasRefusedButStandsIsReleasedWhenTheServiceIsBack, Fixture)
{
    // The write arrives after its daemon gave up. The key must become free again, as the caller was
    // told that the request did not run and sends it once more.
    // A claim of another key makes the daemon read the head of the shard.
    BOOST_REQUIRE(isWon(claim(first, otherKeyInShard(1), "a0")));
    platform.setFaults({{"delay_ms", 3 * int(CallTimeout.count())}});
    const Decision refused = claim(first, 1, "a1");
    platform.setFaults({{"delay_ms", 0}});
    BOOST_REQUIRE(!refused);
    BOOST_CHECK(refused.error().ran == Ran::No);
    int attempts = 0;
    BOOST_CHECK(test::waitFor([&] {
        const QByteArray attempt = "b" + QByteArray::number(++attempts);
        return isWon(claim(second, 1, attempt.constData()));
    }));
}

BOOST_FIXTURE_TEST_CASE(ReleasedKeyCanBeClaimedAgain, Fixture)
{
    BOOST_REQUIRE(isWon(claim(first, 1, "a1")));
    BOOST_CHECK(!isWon(claim(second, 1, "a2")));
    first.claims.release(keyOf(1), AttemptId("a1"));
    int attempts = 2;
    BOOST_CHECK(test::waitFor([&] {
        const QByteArray attempt = "a" + QByteArray::number(++attempts);
        return isWon(claim(second, 1, attempt.constData()));
    }));
}

BOOST_FIXTURE_TEST_CASE(DaemonThatStartsAnewKnowsWhatWasSealedBefore, Fixture)
{
    constexpr int Claims = 600; // several sealed segments a shard
    int won = 0;
    for (int key = 0; key < Claims; ++key) {
        first.claims.claim(keyOf(key), "f", AttemptId("a" + QString::number(key)),
                           [&](const Decision &decision) { won += isWon(decision); });
    }
    BOOST_REQUIRE(test::waitFor([&] { return won == Claims; }));
    int held = 0;
    for (int key = 0; key < Claims; ++key) {
        second.claims.claim(
            keyOf(key), "f", AttemptId("b" + QString::number(key)), [&](const Decision &decision) {
                held += decision && decision.value().kind == ClaimDecision::Kind::Held;
            });
    }
    BOOST_CHECK(test::waitFor([&] { return held == Claims; }));
}

BOOST_FIXTURE_TEST_CASE(OfTwoHundredPairsAtOnceEachIsWonOnceWhileAnswersAreLost, Fixture)
{
    constexpr int Pairs = 200;
    platform.setFaults({{"lose_answers", 20}, {"lose_answers_under", "claims/"}});
    std::vector<int> won(Pairs);
    int decided = 0;
    int refused = 0;
    const auto startClaim = [&](EntryDaemon &daemon, int key, const QString &attempt) {
        daemon.claims.claim(keyOf(key), "f", AttemptId(attempt),
                            [&, key](const Decision &decision) {
                                ++decided;
                                refused += !decision;
                                won[size_t(key)] += isWon(decision);
                            });
    };
    for (int key = 0; key < Pairs; ++key) {
        startClaim(first, key, "a" + QString::number(key));
        startClaim(second, key, "b" + QString::number(key));
    }
    BOOST_REQUIRE(test::waitFor([&] { return decided == 2 * Pairs; }));
    BOOST_TEST_MESSAGE(refused << " refused");
    for (int key = 0; key < Pairs; ++key)
        BOOST_TEST(won[size_t(key)] <= 1, "key " << key);
    BOOST_TEST(std::count(won.begin(), won.end(), 1) + refused >= Pairs);
    BOOST_TEST(std::count(won.begin(), won.end(), 1) > Pairs / 2);
}
