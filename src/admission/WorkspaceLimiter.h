// Defines WorkspaceLimiter, the limits of each workspace in this daemon.
#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "configuration/Configuration.h"

#include <QHash>

namespace cranberry {

struct WorkspaceUse {
    int concurrent = 0;
    /// Requests that may start now, by the token bucket.
    double bucket = 0;
    MonotonicTime filledAt;
};

struct WorkspaceLimiter {
    QHash<WorkspaceId, WorkspaceUse> uses;
    /// Requests that count as concurrent, by workspace.
    QHash<RequestId, WorkspaceId> requests;
};

/// Counts @p request as under way, or says that a limit keeps it out (OverLimit, with the
/// time after which it may pass). Precondition: @p request is not under way.
std::optional<Error> enter(WorkspaceLimiter &limiter, const RequestId &request,
                           const WorkspaceId &workspace, const WorkspaceLimits &limits,
                           MonotonicTime now);

/// Ends @p request; ignored if it is not under way.
void leave(WorkspaceLimiter &limiter, const RequestId &request);

} // namespace cranberry
