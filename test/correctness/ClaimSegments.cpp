// The rules of the segments in which claims are kept.
#define BOOST_TEST_MODULE ClaimSegments
#include <boost/test/unit_test.hpp>

#include "claims/BatchWindow.h"
#include "claims/ClaimKeyAge.h"
#include "claims/ClaimMessages.h"
#include "claims/SegmentUpdate.h"

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

constexpr int Full = 2;
constexpr auto Retention = 24h;
constexpr Revision HeadRevision{7};

Claim claimOf(const char *key, const char *attempt)
{
    return {key, "fingerprint", AttemptId(attempt), VmId("vm1"), 12};
}

ClaimOperation claiming(const char *key, const char *attempt)
{
    return {ClaimOperation::Kind::Claim, claimOf(key, attempt)};
}

ClaimOperation releasing(const char *key, const char *attempt)
{
    return {ClaimOperation::Kind::Release, claimOf(key, attempt)};
}

SegmentUpdate decided(const ClaimSegment &head, const SealedClaims &sealedClaims,
                      const QList<ClaimOperation> &operations, qint64 nowMs = 0)
{
    return decideOperations(head, HeadRevision, sealedClaims, operations, nowMs, Full, Retention);
}

ClaimSegment segmentWith(const QList<Claim> &claims)
{
    ClaimSegment segment;
    segment.claims = claims;
    return segment;
}

} // namespace

BOOST_AUTO_TEST_CASE(FreeKeyIsWrittenAndTakenOneIsHeld)
{
    const ClaimSegment head = segmentWith({claimOf("k", "a1")});
    const SegmentUpdate update = decided(head, {}, {claiming("k", "a2"), claiming("l", "a3")});
    BOOST_CHECK(update.decisions == QList({OperationDecision::Held, OperationDecision::Write}));
    BOOST_CHECK(update.holders[0] == claimOf("k", "a1"));
    BOOST_CHECK(update.next.claims == QList({claimOf("k", "a1"), claimOf("l", "a3")}));
    BOOST_CHECK(!update.requiresSeal);
}

BOOST_AUTO_TEST_CASE(KeyInASealedSegmentIsHeld)
{
    SealedClaims sealedClaims;
    sealedClaims.insert({0, Revision(3), 0}, Revision(4), segmentWith({claimOf("k", "a1")}));
    const SegmentUpdate update = decided({}, sealedClaims, {claiming("k", "a2")});
    BOOST_CHECK(update.decisions == QList({OperationDecision::Held}));
}

BOOST_AUTO_TEST_CASE(ClaimThatStandsForTheSameAttemptIsDone)
{
    SealedClaims sealedClaims;
    sealedClaims.insert({0, Revision(3), 0}, Revision(4), segmentWith({claimOf("l", "a2")}));
    const ClaimSegment head = segmentWith({claimOf("k", "a1")});
    const SegmentUpdate update =
        decided(head, sealedClaims, {claiming("k", "a1"), claiming("l", "a2")});
    BOOST_CHECK(update.decisions == QList({OperationDecision::Done, OperationDecision::Done}));
}

BOOST_AUTO_TEST_CASE(OfTwoClaimsOfABatchForOneKeyTheSecondWaitsForTheWrite)
{
    const SegmentUpdate update = decided({}, {}, {claiming("k", "a1"), claiming("k", "a2")});
    BOOST_CHECK(update.decisions == QList({OperationDecision::Write, OperationDecision::Wait}));
    BOOST_CHECK(update.next.claims == QList({claimOf("k", "a1")}));
}

BOOST_AUTO_TEST_CASE(ReleaseTakesOnlyItsOwnAttemptOut)
{
    const ClaimSegment head = segmentWith({claimOf("k", "a1"), claimOf("l", "a2")});
    const SegmentUpdate update = decided(head, {}, {releasing("k", "a9"), releasing("l", "a2")});
    BOOST_CHECK(update.decisions == QList({OperationDecision::Done, OperationDecision::Write}));
    BOOST_CHECK(update.next.claims == QList({claimOf("k", "a1")}));
}

BOOST_AUTO_TEST_CASE(VoidWritesTheHeadEvenIfTheClaimDoesNotStandYet)
{
    const ClaimOperation voiding{ClaimOperation::Kind::Void, claimOf("k", "a1")};
    const SegmentUpdate absent = decided(segmentWith({claimOf("l", "a2")}), {}, {voiding});
    BOOST_CHECK(absent.decisions == QList({OperationDecision::Write}));
    BOOST_CHECK(absent.next.claims == QList({claimOf("l", "a2")}));
    const SegmentUpdate standing = decided(segmentWith({claimOf("k", "a1")}), {}, {voiding});
    BOOST_CHECK(standing.decisions == QList({OperationDecision::Write}));
    BOOST_CHECK(standing.next.claims.isEmpty());
}

BOOST_AUTO_TEST_CASE(FullSegmentIsSealedUnderTheRevisionOfItsHead)
{
    const ClaimSegment head = segmentWith({claimOf("k", "a1"), claimOf("l", "a2")});
    const SegmentUpdate update = decided(head, {}, {claiming("m", "a3")}, 5);
    BOOST_REQUIRE(update.requiresSeal);
    BOOST_CHECK(update.next.sequence == 1);
    BOOST_CHECK(update.next.claims == QList({claimOf("m", "a3")}));
    BOOST_CHECK(update.next.sealed == QList({SealedSegment{0, HeadRevision, 5}}));
    BOOST_CHECK(sealedSegmentKey(3, update.next.sealed[0]) == "claims/03/0000000000-7");
}

BOOST_AUTO_TEST_CASE(ReleaseGoesBeforeASeal)
{
    const ClaimSegment head = segmentWith({claimOf("k", "a1"), claimOf("l", "a2")});
    const SegmentUpdate update = decided(head, {}, {claiming("m", "a3"), releasing("k", "a1")});
    BOOST_CHECK(!update.requiresSeal);
    BOOST_CHECK(update.next.claims == QList({claimOf("l", "a2"), claimOf("m", "a3")}));
}

BOOST_AUTO_TEST_CASE(SealForgetsSegmentsBeyondRetention)
{
    ClaimSegment head = segmentWith({claimOf("k", "a1"), claimOf("l", "a2")});
    head.sequence = 2;
    head.sealed = {{0, Revision(1), 0}, {1, Revision(2), 1}};
    const qint64 nowMs = Milliseconds(Retention + MaxClaimClockSkew).count() + 1;
    const SegmentUpdate update = decided(head, {}, {claiming("m", "a3")}, nowMs);
    BOOST_CHECK(
        update.next.sealed
        == QList({SealedSegment{1, Revision(2), 1}, SealedSegment{2, HeadRevision, nowMs}}));
}

BOOST_AUTO_TEST_CASE(SegmentsComeBackFromTheirEncodedForm)
{
    ClaimSegment segment = segmentWith({claimOf("k", "a1")});
    segment.sequence = 4;
    segment.sealed = {{3, Revision(9), 11}};
    const auto decodedSegment = decodeSegment(encodeSegment(segment));
    BOOST_REQUIRE(decodedSegment);
    BOOST_CHECK(decodedSegment->sequence == 4);
    BOOST_CHECK(decodedSegment->claims == segment.claims);
    BOOST_CHECK(decodedSegment->sealed == segment.sealed);
}

BOOST_AUTO_TEST_CASE(DamagedSegmentsAreNotTakenForEmptyOnes)
{
    const QByteArray whole = encodeSegment(segmentWith({claimOf("k", "a1")}));
    for (qsizetype length = 0; length < whole.size(); ++length)
        BOOST_CHECK(!decodeSegment(whole.left(length)));
    BOOST_CHECK(!decodeSegment("{}"));
    BOOST_CHECK(!decodeSegment("\xff"));
}

BOOST_AUTO_TEST_CASE(MessagesComeBackFromTheirEncodedForm)
{
    const auto request = claimRequestFromCbor(claimRequestToCbor({claimOf("k", "a1")}));
    BOOST_REQUIRE(request);
    BOOST_CHECK(request->claim == claimOf("k", "a1"));
    const ClaimOutcome held{ClaimOutcome::Kind::Held, claimOf("k", "a2")};
    const auto answer = claimAnswerFromCbor(claimAnswerToCbor({AttemptId("a1"), held, 63, 250ms}));
    BOOST_REQUIRE(answer);
    BOOST_CHECK(answer->attempt == AttemptId("a1"));
    BOOST_CHECK(answer->outcome.kind == ClaimOutcome::Kind::Held);
    BOOST_CHECK(answer->outcome.holder == claimOf("k", "a2"));
    BOOST_CHECK(answer->shard == 63);
    BOOST_CHECK(answer->window == 250ms);
    BOOST_CHECK(!claimRequestFromCbor({}));
    BOOST_CHECK(!claimAnswerFromCbor({{1, "a1"}}));
}

BOOST_AUTO_TEST_CASE(WindowIsZeroForRareClaimsAndGrowsWithTheirRate)
{
    constexpr Milliseconds Longest{250};
    const auto windowAt = [&](Milliseconds gap) {
        ArrivalRate rate;
        MonotonicTime now{1h};
        for (int i = 0; i < 1000; ++i) {
            now += gap;
            rate = recordArrival(rate, now);
        }
        return batchWindow(rate, now, Longest);
    };
    BOOST_CHECK(windowAt(2s) == 0ms);
    BOOST_CHECK(windowAt(400ms) > 0ms);
    BOOST_CHECK(windowAt(300ms) > windowAt(400ms));
    BOOST_CHECK(windowAt(10ms) == Longest);
}

BOOST_AUTO_TEST_CASE(WindowIsZeroAgainAfterAPause)
{
    ArrivalRate rate;
    const MonotonicTime now{1h};
    for (int i = 0; i < 1000; ++i)
        rate = recordArrival(rate, now);
    BOOST_CHECK(batchWindow(rate, now, 250ms) == 250ms);
    BOOST_CHECK(batchWindow(rate, now + 1min, 250ms) == 0ms);
}

BOOST_AUTO_TEST_CASE(AgeIsReadFromUuidV7Only)
{
    // The example of RFC 9562: 2022-02-22 14:22:22 -05:00.
    const QByteArray example = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    constexpr qint64 ExampleTime = 1'645'557'742'000;
    BOOST_CHECK(timeOfUuidV7(example) == ExampleTime);
    BOOST_CHECK(!timeOfUuidV7("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    BOOST_CHECK(!timeOfUuidV7("order-17"));
    const qint64 end = ExampleTime + Milliseconds(Retention).count();
    BOOST_CHECK(!isBeyondRetention(example, end, Retention));
    BOOST_CHECK(isBeyondRetention(example, end + 1, Retention));
    BOOST_CHECK(!isBeyondRetention("order-17", end + 1, Retention));
}
