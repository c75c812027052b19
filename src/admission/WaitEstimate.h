#pragma once

#include "base/Units.h"

#include <QtGlobal>

#include <optional>

namespace cranberry {

/// Predicts waits from the recent placement rate: the number of placements of waiting requests and
/// the time during which requests waited, both exponentially decayed.
struct WaitEstimate {
    double placements = 0;
    double busySeconds = 0;
    /// Time of the last update; absent before the first.
    std::optional<MonotonicTime> updatedAt;
};

/// Adds the time until @p now. @p busy is true if requests waited during it.
void recordTime(WaitEstimate &estimate, MonotonicTime now, bool busy);

/// Adds one placement of a request that had waited.
void recordPlacement(WaitEstimate &estimate);

/// Expected time until a request that is at position @p ahead in the queue is placed; absent until
/// enough placements have been seen.
std::optional<Milliseconds> expectedWait(const WaitEstimate &estimate, double ahead);

} // namespace cranberry
