// Defines TargetDemand, what delivery asks of admission and placement for one attempt.
#pragma once

#include "admission/AdmissionRequest.h"
#include "quarantine/RequestFingerprint.h"

namespace cranberry {

struct TargetDemand {
    AdmissionRequest admission;
    /// By which a request that crashes targets is known again.
    RequestFingerprint fingerprint;
};

} // namespace cranberry
