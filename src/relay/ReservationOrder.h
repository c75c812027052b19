#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

/// An order to an engine to reserve room for a request.
struct ReservationOrder {
    /// Another target at the same address refuses the order.
    TargetId target;
    Tokens tokens;
    /// The engine frees a reservation that is not used within this time.
    Milliseconds lifetime{0};
};

} // namespace cranberry
