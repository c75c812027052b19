#pragma once

#include "quarantine/RequestFingerprint.h"

#include "base/Units.h"

namespace cranberry {

/// A quarantined request as shown to operators.
struct QuarantineEntry {
    RequestFingerprint fingerprint;
    WorkspaceId workspace;
    MonotonicTime until;
};

} // namespace cranberry
