#pragma once

#include "base/Units.h"

namespace cranberry {

/// The time at which a caller's request reached the daemon.
struct ArrivalTime {
    MonotonicTime monotonic;
    /// Milliseconds since the Unix epoch; used only for the age stated in an idempotency key.
    qint64 wallClockMs = 0;
};

} // namespace cranberry
