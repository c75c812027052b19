#pragma once

#include "quarantine/CrashSuspicion.h"
#include "quarantine/RequestFingerprint.h"

namespace cranberry {

/// Permission to make one run of a suspected request, or of a suspected part.
struct CrashTrial {
    RequestFingerprint fingerprint;
    SuspicionId id;
};

} // namespace cranberry
