#pragma once

#include "base/Units.h"
#include "claims/ClaimOperation.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

/// Forwards a claim to the coordinator of its shard.
struct ClaimRequestMessage {
    Claim claim;
};

/// The coordinator's answer to a ClaimRequestMessage.
struct ClaimAnswerMessage {
    AttemptId attempt;
    ClaimOutcome outcome;
    int shard = 0;
    /// The coordinator's present batch window for the shard.
    Milliseconds window{0};
};

/// Thread-safe.
QCborMap claimRequestToCbor(const ClaimRequestMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ClaimRequestMessage> claimRequestFromCbor(const QCborMap &body);

/// Thread-safe.
QCborMap claimAnswerToCbor(const ClaimAnswerMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ClaimAnswerMessage> claimAnswerFromCbor(const QCborMap &body);

} // namespace cranberry
