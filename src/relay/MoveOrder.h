#pragma once

#include "base/Ids.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

/// An order to an engine to copy a running generation to another engine.
struct MoveOrder {
    RequestId request;
    HttpEndpoint destination;
    /// Stops the generation first, so that the copy is complete.
    bool isFinal = false;
};

} // namespace cranberry
