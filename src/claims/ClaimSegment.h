// Defines ClaimSegment, a part of the claims of a shard, and the rules for it.
#pragma once

#include "claims/Claim.h"
#include "platformstore/KeyValue.h"

#include <QList>

#include <chrono>
#include <optional>

namespace cranberry {

constexpr int ClaimShardCount = 64;

/// Sealed segments are kept for so much longer than retention. Failure: a VM whose wall clock
/// is ahead forgets a claim while another still takes its key for young enough to be sent. The
/// allowance holds while no two clocks are further apart.
constexpr std::chrono::hours ClaimClockSkew{1};

/// A segment that takes no further claims, by its place in the platform's service.
struct SealedSegment {
    qint64 sequence = 0;
    /// Revision of the head whose claims it holds. Without it in the key's name, a seal that
    /// lost against a claim written in between would be taken for the next seal of the same
    /// sequence, and that claim would be forgotten: its request could be sent twice.
    Revision headRevision;
    qint64 sealedAtMs = 0;

    friend bool operator==(const SealedSegment &a, const SealedSegment &b)
    {
        return a.sequence == b.sequence && a.headRevision == b.headRevision
            && a.sealedAtMs == b.sealedAtMs;
    }
};

struct ClaimSegment {
    qint64 sequence = 0;
    QList<Claim> claims;
    /// All sealed segments within retention; empty in a sealed segment itself.
    QList<SealedSegment> sealed;
};

/// The shard of @p claimKey. Precondition: @p claimKey is not empty. Thread-safe.
int shardOfClaim(const QByteArray &claimKey);

/// Where the open segment of @p shard is kept. Thread-safe.
QString claimHeadKey(int shard);

/// Where @p sealed of @p shard is kept. Thread-safe.
QString sealedSegmentKey(int shard, const SealedSegment &sealed);

/// The claim for @p claimKey, if it stands in @p segment. Thread-safe.
std::optional<Claim> findClaim(const ClaimSegment &segment, const QByteArray &claimKey);

/// Removes the claim of @p attempt for @p claimKey; false if it does not stand in @p segment.
/// Thread-safe.
bool removeClaim(ClaimSegment &segment, const QByteArray &claimKey, const AttemptId &attempt);

/// What follows on @p head once it is sealed: no claims yet, the sealed one named, those
/// older than @p retention and the allowance for clocks no longer. Thread-safe.
ClaimSegment segmentAfterSeal(const ClaimSegment &head, Revision headRevision, qint64 nowMs,
                              std::chrono::hours retention);

/// The segment as it is kept in the platform's service: CBOR in Base64. Thread-safe.
QByteArray encodeSegment(const ClaimSegment &segment);

/// Empty if @p value is not an encoded segment. Thread-safe.
std::optional<ClaimSegment> decodeSegment(const QByteArray &value);

} // namespace cranberry
