// The claim of a request that ends while its claim is under way.
#define BOOST_TEST_MODULE RequestClaim
#include <boost/test/unit_test.hpp>

#include "delivery/RequestClaim.h"

#include <optional>

using namespace cranberry;

namespace {

const AttemptId Attempt(QStringLiteral("attempt"));

/// Keeps the one claim until the test decides it.
class HeldBackGate final : public ClaimService
{
public:
    void claim(const QByteArray &, const QByteArray &, const AttemptId &,
               Callback callback) override
    {
        m_callback = std::move(callback);
    }
    void release(const QByteArray &, const AttemptId &attempt) override
    {
        BOOST_TEST((attempt == Attempt));
        ++m_released;
    }

    void decide(ClaimDecision::Kind kind)
    {
        ClaimDecision decision;
        decision.kind = kind;
        m_callback(decision);
    }
    int released() const { return m_released; }

private:
    Callback m_callback;
    int m_released = 0;
};

struct Fixture {
    Fixture()
    {
        claim.emplace(gate, "key", "fingerprint");
        claim->acquire(Attempt, [this](const Result<ClaimDecision> &) { ++told; });
    }

    HeldBackGate gate;
    std::optional<RequestClaim> claim;
    int told = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ClaimWonAfterTheRequestIsGoneIsGivenBack, Fixture)
{
    // An alert's deadline passes while the platform is slow. Its caller is told "not run" and
    // sends it again with the same key, as it may. The first claim, won meanwhile with nobody
    // left to use it, would refuse the key for a day.
    claim.reset();
    gate.decide(ClaimDecision::Kind::Won);
    BOOST_TEST(gate.released() == 1);
    BOOST_TEST(told == 0);
}

BOOST_FIXTURE_TEST_CASE(ClaimWonAfterTheRequestEndedIsGivenBackOnce, Fixture)
{
    claim->abandon();
    gate.decide(ClaimDecision::Kind::Won);
    claim->release();
    BOOST_TEST(gate.released() == 1);
    BOOST_TEST(told == 0);
}

BOOST_FIXTURE_TEST_CASE(ClaimOfAnotherIsNeverGivenBack, Fixture)
{
    claim->abandon();
    gate.decide(ClaimDecision::Kind::Held);
    BOOST_TEST(gate.released() == 0);
}

BOOST_FIXTURE_TEST_CASE(HeldClaimOutlivesTheRequestUnlessItIsReleased, Fixture)
{
    gate.decide(ClaimDecision::Kind::Won);
    BOOST_TEST(told == 1);
    BOOST_TEST(claim->isHeld());
    claim.reset();
    BOOST_TEST(gate.released() == 0);
}
