// Defines AttemptPlan, how one request is sent to one target.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/CopyReference.h"

#include <optional>

namespace cranberry {

struct AttemptPlan {
    /// Another target at the same address refuses.
    TargetId target;
    WorkspaceId workspace;
    Milliseconds timeLeft{0};
    /// Goes on from this copy instead of beginning anew.
    std::optional<CopyReference> from;
    /// Room that the target keeps for the request; empty without.
    QByteArray reservation;
    /// Where the target keeps a copy of the generation as it grows.
    std::optional<HttpEndpoint> backup;
    /// Last event that the caller has; with @c from.
    qint64 lastEvent = 0;
};

} // namespace cranberry
