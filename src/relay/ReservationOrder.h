// Defines ReservationOrder, what is asked of an engine before a request is sent to it.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

struct ReservationOrder {
    /// Another target at the same address refuses.
    TargetId target;
    Tokens tokens;
    /// Room that no request has taken is free again after this time.
    Milliseconds holdsFor{0};
};

} // namespace cranberry
