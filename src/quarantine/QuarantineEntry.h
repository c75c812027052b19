// Defines QuarantineEntry, one request that is held back, as operators see it.
#pragma once

#include "quarantine/RequestFingerprint.h"

#include "base/Units.h"

namespace cranberry {

struct QuarantineEntry {
    RequestFingerprint fingerprint;
    WorkspaceId workspace;
    MonotonicTime until;
};

} // namespace cranberry
