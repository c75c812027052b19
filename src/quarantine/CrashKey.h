#pragma once

#include "quarantine/RequestFingerprint.h"

#include <QString>

namespace cranberry {

/// What a record is about: one request, or one part of prompts.
struct CrashKey {
    RequestFingerprint fingerprint;
    /// Whose request it is; empty for a part.
    WorkspaceId workspace;
    /// The name of the part; empty for a request.
    QString part;
};

} // namespace cranberry
