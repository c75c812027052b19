// Defines ArrivalTime, when a caller's request reached the daemon.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct ArrivalTime {
    MonotonicTime monotonic;
    /// Milliseconds since 1970; only for the age that an idempotency key states.
    qint64 wallClockMs = 0;
};

} // namespace cranberry
