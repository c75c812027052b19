// Defines WaitEstimate, how long a waiting request must expect to wait.
#pragma once

#include "base/Units.h"

#include <QtGlobal>

#include <optional>

namespace cranberry {

/// Placements and the time in which somebody waited for them, both decaying.
struct WaitEstimate {
    double placements = 0;
    double busySeconds = 0;
    /// Absent before the first count.
    std::optional<MonotonicTime> countedTo;
};

/// Counts the time until @p now; @p busy tells whether somebody waited in it.
void countTime(WaitEstimate &estimate, MonotonicTime now, bool busy);

/// Counts one placement of a request that had waited.
void countPlacement(WaitEstimate &estimate);

/// The time until a request with @p ahead requests before it is placed; absent while too
/// little is known.
std::optional<Milliseconds> expectedWait(const WaitEstimate &estimate, double ahead);

} // namespace cranberry
