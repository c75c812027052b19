#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "configuration/Configuration.h"

#include <QHash>

namespace cranberry {

struct WorkspaceUsage {
    int concurrent = 0;
    /// Requests that may start now, the level of the token bucket.
    double availableRequests = 0;
    MonotonicTime refilledAt;
};

/// Enforces the limits of each workspace in this daemon.
struct WorkspaceLimiter {
    QHash<WorkspaceId, WorkspaceUsage> usage;
    /// The requests in progress and their workspaces.
    QHash<RequestId, WorkspaceId> requests;
};

/// Counts @p request as in progress, or returns an OverLimit error with the time after which it may
/// be retried. Precondition: @p request is not in progress.
std::optional<Error> acquireSlot(WorkspaceLimiter &limiter, const RequestId &request,
                                 const WorkspaceId &workspace, const WorkspaceLimits &limits,
                                 MonotonicTime now);

/// Ends @p request; ignored if it is not in progress.
void releaseSlot(WorkspaceLimiter &limiter, const RequestId &request);

} // namespace cranberry
