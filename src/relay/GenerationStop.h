#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

/// A generation that must end at an engine because it may continue at another one.
struct GenerationStop {
    RequestId request;
    TargetId target;
    HttpEndpoint endpoint;
    /// The engine at which it may continue.
    HttpEndpoint successor;
    /// Why it left the engine; for the log.
    const char *reason = "";
    /// When the successor was asked to continue it.
    MonotonicTime continuedAt;
    /// The engine ends the generation itself at this time.
    MonotonicTime deadline;
};

} // namespace cranberry
