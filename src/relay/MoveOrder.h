// Defines MoveOrder, the order to copy a running generation to another engine.
#pragma once

#include "base/Ids.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

struct MoveOrder {
    RequestId request;
    HttpEndpoint destination;
    /// The run stops first, so that the copy is whole.
    bool isLast = false;
};

} // namespace cranberry
