#include "claims/SegmentUpdate.h"

#include <QSet>

#include <algorithm>

namespace cranberry {

namespace {

OperationDecision decideClaim(const std::optional<Claim> &existing, const Claim &requested)
{
    if (!existing)
        return OperationDecision::Write;
    return existing->attempt == requested.attempt ? OperationDecision::Done
                                                  : OperationDecision::Held;
}

// A claim in a sealed segment cannot be released.
OperationDecision decideRelease(const ClaimSegment &head, const SealedClaims &sealedClaims,
                                const ClaimOperation &operation)
{
    const Claim &released = operation.claim;
    if (operation.kind == ClaimOperation::Kind::Void) {
        const std::optional<Claim> existing = sealedClaims.find(released.key);
        const bool isSealed = existing && existing->attempt == released.attempt;
        return isSealed ? OperationDecision::Done : OperationDecision::Write;
    }
    const std::optional<Claim> existing = findClaim(head, released.key);
    const bool isStored = existing && existing->attempt == released.attempt;
    return isStored ? OperationDecision::Write : OperationDecision::Done;
}

} // namespace

SegmentUpdate decideOperations(const ClaimSegment &head, Revision headRevision,
                               const SealedClaims &sealedClaims,
                               const QList<ClaimOperation> &operations, qint64 nowMs,
                               int maxSegmentClaims, std::chrono::hours retention)
{
    SegmentUpdate update;
    QSet<QByteArray> changedKeys;
    QList<Claim> added;
    QList<Claim> released;
    for (const ClaimOperation &operation : operations) {
        const Claim &claim = operation.claim;
        const bool isRelease = operation.kind != ClaimOperation::Kind::Claim;
        std::optional<Claim> existing = findClaim(head, claim.key);
        if (!existing)
            existing = sealedClaims.find(claim.key);
        OperationDecision decision =
            isRelease ? decideRelease(head, sealedClaims, operation) : decideClaim(existing, claim);
        if (decision == OperationDecision::Write && changedKeys.contains(claim.key))
            decision = OperationDecision::Wait;
        if (decision == OperationDecision::Write) {
            changedKeys.insert(claim.key);
            (isRelease ? released : added).append(claim);
        }
        update.decisions.append(decision);
        update.holders.append(decision == OperationDecision::Held ? *existing : Claim());
    }
    // A claim cannot be removed from a sealed segment, so releases are written before a seal.
    update.requiresSeal =
        head.claims.size() >= maxSegmentClaims && released.isEmpty() && !added.isEmpty();
    update.next =
        update.requiresSeal ? segmentAfterSeal(head, headRevision, nowMs, retention) : head;
    for (const Claim &claim : released)
        removeClaim(update.next, claim.key, claim.attempt);
    update.next.claims.append(added);
    return update;
}

} // namespace cranberry
