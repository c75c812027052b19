#pragma once

#include "admission/AdmissionRequest.h"
#include "quarantine/RequestFingerprint.h"

namespace cranberry {

/// The request of one attempt to admission and placement for a target.
struct TargetDemand {
    AdmissionRequest admission;
    /// Identifies a repeated request that crashes targets.
    RequestFingerprint fingerprint;
};

} // namespace cranberry
