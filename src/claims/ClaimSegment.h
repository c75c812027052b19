#pragma once

#include "claims/Claim.h"
#include "platformstore/KeyValue.h"

#include <QList>

#include <chrono>
#include <optional>

namespace cranberry {

constexpr int ClaimShardCount = 64;

/// Sealed segments are kept for this much longer than the retention time. Without it, a VM whose
/// wall clock is ahead removes a claim while another VM still accepts the claim's key, and the
/// request could be sent twice. No two wall clocks may differ by more than this.
constexpr std::chrono::hours MaxClaimClockSkew{1};

/// Reference to a segment that accepts no more claims, as stored in the platform's store.
struct SealedSegment {
    qint64 sequence = 0;
    /// Revision of the head whose claims it holds; part of the segment's store key. Without it, a
    /// seal that lost the race against a concurrent claim would be taken for the next seal of
    /// the same sequence. That claim would be lost, and its request could be sent twice.
    Revision headRevision;
    qint64 sealedAtMs = 0;

    friend bool operator==(const SealedSegment &a, const SealedSegment &b)
    {
        return a.sequence == b.sequence && a.headRevision == b.headRevision
            && a.sealedAtMs == b.sealedAtMs;
    }
};

/// A part of the claims of a shard.
struct ClaimSegment {
    qint64 sequence = 0;
    QList<Claim> claims;
    /// All sealed segments within the retention time; empty in a sealed segment.
    QList<SealedSegment> sealed;
};

/// The shard of @p claimKey. Precondition: @p claimKey is not empty. Thread-safe.
int shardOfClaim(const QByteArray &claimKey);

/// The store key of the open segment of @p shard. Thread-safe.
QString claimHeadKey(int shard);

/// The store key of @p sealed in @p shard. Thread-safe.
QString sealedSegmentKey(int shard, const SealedSegment &sealed);

/// The claim for @p claimKey, if it is in @p segment. Thread-safe.
std::optional<Claim> findClaim(const ClaimSegment &segment, const QByteArray &claimKey);

/// Removes the claim of @p attempt for @p claimKey. Returns false if it is not in @p segment.
/// Thread-safe.
bool removeClaim(ClaimSegment &segment, const QByteArray &claimKey, const AttemptId &attempt);

/// The open segment that replaces @p head after it was sealed. It has no claims, references the
/// new sealed segment, and drops references older than @p retention plus MaxClaimClockSkew.
/// Thread-safe.
ClaimSegment segmentAfterSeal(const ClaimSegment &head, Revision headRevision, qint64 nowMs,
                              std::chrono::hours retention);

/// The stored form of @p segment: CBOR in Base64. Thread-safe.
QByteArray encodeSegment(const ClaimSegment &segment);

/// Empty if @p value is not an encoded segment. Thread-safe.
std::optional<ClaimSegment> decodeSegment(const QByteArray &value);

} // namespace cranberry
