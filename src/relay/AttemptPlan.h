#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/CopyReference.h"

#include <optional>

namespace cranberry {

/// The parameters of one attempt at a target.
struct AttemptPlan {
    /// Another target at the same address refuses the request.
    TargetId target;
    WorkspaceId workspace;
    Milliseconds timeLeft{0};
    /// Resumes from this copy instead of starting anew.
    std::optional<CopyReference> resumeFrom;
    /// Reservation at the target that the request uses; empty if none.
    QByteArray reservation;
    /// Engine to which the target copies the generation while it runs.
    std::optional<HttpEndpoint> backup;
    /// Id of the last event that the caller has; used with resumeFrom.
    qint64 lastEvent = 0;
};

} // namespace cranberry
