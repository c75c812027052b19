// Defines SegmentUpdate, what a batch of operations makes of the open segment of a shard.
#pragma once

#include "claims/ClaimOperation.h"
#include "claims/ClaimSegment.h"
#include "claims/SealedClaims.h"

namespace cranberry {

enum class OperationStep {
    /// Settled by what already stands.
    Done,
    /// Another attempt holds the key.
    Held,
    /// Done once the update is written.
    Write,
    /// Another operation of the batch is about the same key: to be decided after the write.
    Wait,
};

struct SegmentUpdate {
    /// The value of the head to be written, if any step is Write.
    ClaimSegment next;
    /// The present segment has to be sealed before.
    bool seals = false;
    /// One for each operation.
    QList<OperationStep> steps;
    /// For each step that is Held, the claim that stands, else an empty one.
    QList<Claim> holders;
};

/// Decides @p operations on @p head, the open segment at @p headRevision, and all that is
/// sealed. A claim that already stands for the same attempt is done: its earlier write was
/// not answered. Thread-safe.
/// Precondition: @p sealedClaims knows every segment that @p head names.
SegmentUpdate decideOperations(const ClaimSegment &head, Revision headRevision,
                               const SealedClaims &sealedClaims,
                               const QList<ClaimOperation> &operations, qint64 nowMs,
                               int fullSegment, std::chrono::hours retention);

} // namespace cranberry
