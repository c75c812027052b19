#pragma once

#include "placement/PlacementRequest.h"

namespace cranberry {

/// The input of the admission queue for one request.
struct AdmissionRequest {
    PlacementRequest placement;
    /// The attempt recorded if a target is found; must be new.
    AttemptId attempt;
    /// The time at which the caller gives up.
    MonotonicTime deadline;
    /// Requests of one workspace are ordered by descending priority.
    int priority = 0;
    /// True for a further attempt of an admitted request, which is not subject to the workspace
    /// limits.
    bool retry = false;
    /// True if another daemon requests the capacity and makes the send.
    bool remote = false;
};

} // namespace cranberry
