// Defines what a target's death means for a request that was on it.
#pragma once

#include "quarantine/RequestFingerprint.h"

namespace cranberry {

enum class QuarantineVerdict {
    /// Nothing speaks against it.
    Free,
    /// It was on a target that died; retry it only on a probation target.
    Suspect,
    /// It crashed two targets; refuse it.
    Quarantined,
};

/// Why a target is gone.
enum class TargetDeathCause {
    /// Unknown, so it may have been a request.
    Crash,
    /// It was seen leaving, or its VM was reclaimed: no request is to blame.
    Reclaimed,
};

struct QuarantineOutcome {
    RequestFingerprint fingerprint;
    WorkspaceId workspace;
    QuarantineVerdict verdict = QuarantineVerdict::Free;
};

} // namespace cranberry
