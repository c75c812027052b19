// Defines the messages by which a daemon lets another write its claim.
#pragma once

#include "base/Units.h"
#include "claims/ClaimOperation.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

struct ClaimRequestMessage {
    Claim claim;
};

struct ClaimAnswerMessage {
    AttemptId attempt;
    ClaimOutcome outcome;
    int shard = 0;
    /// How long the gatherer holds claims of the shard at present.
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
