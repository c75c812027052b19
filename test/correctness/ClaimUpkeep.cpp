// What claims cost the platform's service, and what becomes of old ones.
#define BOOST_TEST_MODULE ClaimUpkeep
#include <boost/test/unit_test.hpp>

#include "base/EventLog.h"
#include "claims/ClaimSegment.h"
#include "claims/ClaimStore.h"
#include "support/EventLoop.h"
#include "support/FixedMembers.h"
#include "support/ManualTimers.h"
#include "support/MemoryKeyValueStore.h"
#include "support/QuietPeers.h"

using namespace cranberry;

namespace {

constexpr int FullSegment = 4;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        setLogLevel(LogLevel::Error);
    }

    /// Claims a new key of shard 0, one at a time and far enough apart not to be gathered.
    void claimOne()
    {
        bool isWon = false;
        const QByteArray key = QByteArray(1, '\0') + QByteArray::number(++m_claimed);
        claims.claim(key, "f", AttemptId(QString::number(m_claimed)),
                     [&](const Result<ClaimDecision> &decision) {
                         isWon = decision && decision.value().kind == ClaimDecision::Kind::Won;
                     });
        BOOST_REQUIRE(test::waitFor([&] { return isWon; }));
        timers.advance(std::chrono::minutes(1));
    }

    QStringList sealedKeys() const
    {
        QStringList keys = table->entries.keys();
        keys.removeAll(claimHeadKey(0));
        return keys;
    }

    static ClaimSettings settings()
    {
        ClaimSettings settings;
        settings.maxSegmentClaims = FullSegment;
        return settings;
    }

    qint64 nowMs = 0;
    test::ManualTimers timers;
    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    test::MemoryKeyValueStore store{table};
    test::QuietPeers peers;
    test::FixedMembers members{VmId("vm1"), {VmId("vm1")}};
    ClaimStore claims{{store, timers, members, peers}, settings(), [this] { return nowMs; }};

private:
    int m_claimed = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ClaimCostsOneWriteAndASealOneMore, Fixture)
{
    constexpr int Claims = 5 * FullSegment + 1;
    for (int i = 0; i < Claims; ++i)
        claimOne();
    const ClaimCounts counts = claims.counts();
    BOOST_TEST(counts.won == Claims);
    BOOST_TEST(counts.writes == Claims + 5);
    BOOST_TEST(counts.reads == 1);
    BOOST_TEST(table->writes == counts.writes);
    BOOST_TEST(table->reads == counts.reads);
}

BOOST_FIXTURE_TEST_CASE(SegmentsBeyondRetentionLeaveTheService, Fixture)
{
    for (int i = 0; i < 2 * FullSegment + 1; ++i)
        claimOne();
    const QStringList old = sealedKeys();
    BOOST_REQUIRE(old.size() == 2);
    nowMs = Milliseconds(ClaimSettings().retention + MaxClaimClockSkew).count() + 1;
    for (int i = 0; i < FullSegment; ++i)
        claimOne();
    BOOST_CHECK(test::waitFor([&] { return sealedKeys().size() == 1; }));
    BOOST_CHECK(!old.contains(sealedKeys().first()));
}
