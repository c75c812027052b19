#include "claims/SegmentUpdate.h"

#include <QSet>

#include <algorithm>

namespace cranberry {

namespace {

OperationStep decideClaim(const std::optional<Claim> &standing, const Claim &wanted)
{
    if (!standing)
        return OperationStep::Write;
    return standing->attempt == wanted.attempt ? OperationStep::Done : OperationStep::Held;
}

// A claim in a sealed segment cannot be taken back.
OperationStep decideRelease(const ClaimSegment &head, const SealedClaims &sealedClaims,
                            const ClaimOperation &operation)
{
    const Claim &released = operation.claim;
    if (operation.kind == ClaimOperation::Kind::Void) {
        const std::optional<Claim> standing = sealedClaims.find(released.key);
        const bool isSealed = standing && standing->attempt == released.attempt;
        return isSealed ? OperationStep::Done : OperationStep::Write;
    }
    const std::optional<Claim> standing = findClaim(head, released.key);
    const bool stands = standing && standing->attempt == released.attempt;
    return stands ? OperationStep::Write : OperationStep::Done;
}

} // namespace

SegmentUpdate decideOperations(const ClaimSegment &head, Revision headRevision,
                               const SealedClaims &sealedClaims,
                               const QList<ClaimOperation> &operations, qint64 nowMs,
                               int fullSegment, std::chrono::hours retention)
{
    SegmentUpdate update;
    QSet<QByteArray> touched;
    QList<Claim> added;
    QList<Claim> released;
    for (const ClaimOperation &operation : operations) {
        const Claim &claim = operation.claim;
        const bool releases = operation.kind != ClaimOperation::Kind::Claim;
        std::optional<Claim> standing = findClaim(head, claim.key);
        if (!standing)
            standing = sealedClaims.find(claim.key);
        OperationStep step =
            releases ? decideRelease(head, sealedClaims, operation) : decideClaim(standing, claim);
        if (step == OperationStep::Write && touched.contains(claim.key))
            step = OperationStep::Wait;
        if (step == OperationStep::Write) {
            touched.insert(claim.key);
            (releases ? released : added).append(claim);
        }
        update.steps.append(step);
        update.holders.append(step == OperationStep::Held ? *standing : Claim());
    }
    // A claim cannot be taken out of a sealed segment, so releases go before a seal.
    update.seals = head.claims.size() >= fullSegment && released.isEmpty() && !added.isEmpty();
    update.next = update.seals ? segmentAfterSeal(head, headRevision, nowMs, retention) : head;
    for (const Claim &claim : released)
        removeClaim(update.next, claim.key, claim.attempt);
    update.next.claims.append(added);
    return update;
}

} // namespace cranberry
