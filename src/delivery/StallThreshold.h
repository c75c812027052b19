#pragma once

#include "base/Units.h"

namespace cranberry {

/// Exponentially weighted mean and variance of the time between events; follows the load.
struct GapStatistics {
    double meanMs = 0;
    double varianceMs = 0;
    qint64 count = 0;
};

/// Bounds on the silence after which a stream counts as stalled, from the settings.
struct StallLimits {
    /// A shorter silence never counts as a stall: engines pause while they prefill prompts.
    Milliseconds minSilence{400};
    /// A longer silence always counts as a stall. Also applies before the first event.
    Milliseconds maxSilence{3000};
};

/// Adds the time between two events. Thread safety: none; the caller owns @p statistics.
void recordGap(GapStatistics &statistics, Milliseconds gap);

/// The silence after which a stream counts as stalled and a parallel resume is opened: the mean
/// gap plus several standard deviations, within @p limits. Thread-safe.
Milliseconds stallThreshold(const GapStatistics &statistics, const StallLimits &limits);

} // namespace cranberry
