#pragma once

#include "quarantine/RequestFingerprint.h"

namespace cranberry {

enum class QuarantineVerdict {
    /// The request is not suspected.
    Free,
    /// The request was running on a target that died; it may be retried only on a probation target.
    Suspect,
    /// The request crashed two targets and is refused.
    Quarantined,
};

/// Why a target died.
enum class TargetDeathCause {
    /// The cause is unknown, so a request may have caused it.
    Crash,
    /// The target announced that it was leaving, or its VM was reclaimed; no request is the cause.
    Reclaimed,
};

/// The consequence of a target's death for a request that was running on it.
struct QuarantineOutcome {
    RequestFingerprint fingerprint;
    WorkspaceId workspace;
    QuarantineVerdict verdict = QuarantineVerdict::Free;
};

} // namespace cranberry
