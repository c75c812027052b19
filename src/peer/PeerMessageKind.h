#pragma once

namespace cranberry {

/// The kinds of messages between daemons.
/// Each number is a wire value and is never reused for another kind.
enum class PeerMessageKind {
    Heartbeat = 1,
    ConfigurationPull = 2,
    ConfigurationChanges = 3,
    ClaimRequest = 4,
    ClaimAnswer = 5,
    CreditRequest = 6,
    CreditAnswer = 7,
    AttachRequest = 8,
    AttachData = 9,
    Quarantine = 10,
    Probe = 11,
    ProbeAnswer = 12,
    TargetLeaving = 13,
};

} // namespace cranberry
