// Defines AdmissionRequest, what a request asks of the admission queue.
#pragma once

#include "placement/PlacementRequest.h"

namespace cranberry {

struct AdmissionRequest {
    PlacementRequest placement;
    /// The send that is made if a target is found; never used before.
    AttemptId attempt;
    /// When the caller gives up.
    MonotonicTime deadline;
    /// Larger first among the requests of one workspace.
    int priority = 0;
    /// A further attempt of a request that was admitted before: it passes the limits.
    bool retry = false;
    /// Another daemon asks for room and will make the send.
    bool remote = false;
};

} // namespace cranberry
