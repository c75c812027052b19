#pragma once

#include "claims/ClaimOperation.h"
#include "claims/ClaimSegment.h"
#include "claims/SealedClaims.h"

namespace cranberry {

enum class OperationDecision {
    /// Complete with the stored claims as they are.
    Done,
    /// Another attempt holds the key.
    Held,
    /// Complete once the update is written.
    Write,
    /// An earlier operation of the batch changes the same key; decided again after the write.
    Wait,
};

/// The effect of a batch of operations on the open segment of a shard.
struct SegmentUpdate {
    /// The new head, to be written if any decision is Write.
    ClaimSegment next;
    /// The present head has to be sealed first.
    bool requiresSeal = false;
    /// One decision per operation.
    QList<OperationDecision> decisions;
    /// One entry per operation: the stored claim if the decision is Held, otherwise an empty claim.
    QList<Claim> holders;
};

/// Decides @p operations from @p head, the open segment at @p headRevision, and the sealed
/// segments. A claim already stored for the same attempt is Done: an earlier write of it took
/// effect without an answer. Thread-safe.
/// Precondition: @p sealedClaims has every segment that @p head references.
SegmentUpdate decideOperations(const ClaimSegment &head, Revision headRevision,
                               const SealedClaims &sealedClaims,
                               const QList<ClaimOperation> &operations, qint64 nowMs,
                               int maxSegmentClaims, std::chrono::hours retention);

} // namespace cranberry
