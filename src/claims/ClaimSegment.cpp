#include "claims/ClaimSegment.h"

#include "base/Units.h"

namespace cranberry {

int shardOfClaim(const QByteArray &claimKey)
{
    return static_cast<unsigned char>(claimKey.at(0)) % ClaimShardCount;
}

QString claimHeadKey(int shard)
{
    return QStringLiteral("claims/%1").arg(shard, 2, 10, QLatin1Char('0'));
}

QString sealedSegmentKey(int shard, const SealedSegment &sealed)
{
    constexpr int SequenceDigits = 10;
    return QStringLiteral("%1/%2-%3")
        .arg(claimHeadKey(shard))
        .arg(sealed.sequence, SequenceDigits, 10, QLatin1Char('0'))
        .arg(sealed.headRevision.value());
}

std::optional<Claim> findClaim(const ClaimSegment &segment, const QByteArray &claimKey)
{
    for (const Claim &claim : segment.claims) {
        if (claim.key == claimKey)
            return claim;
    }
    return std::nullopt;
}

bool removeClaim(ClaimSegment &segment, const QByteArray &claimKey, const AttemptId &attempt)
{
    return segment.claims.removeIf([&](const Claim &claim) {
        return claim.key == claimKey && claim.attempt == attempt;
    }) > 0;
}

ClaimSegment segmentAfterSeal(const ClaimSegment &head, Revision headRevision, qint64 nowMs,
                              std::chrono::hours retention)
{
    ClaimSegment next;
    next.sequence = head.sequence + 1;
    const qint64 expiredBefore = nowMs - Milliseconds(retention + MaxClaimClockSkew).count();
    for (const SealedSegment &sealed : head.sealed) {
        if (sealed.sealedAtMs >= expiredBefore)
            next.sealed.append(sealed);
    }
    next.sealed.append({head.sequence, headRevision, nowMs});
    return next;
}

} // namespace cranberry
