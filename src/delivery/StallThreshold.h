// Defines when a silent stream counts as stalled.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// Running mean and variance of the time between events, decayed so that it follows load.
struct GapStatistics {
    double meanMs = 0;
    double varianceMs = 0;
    qint64 count = 0;
};

/// Bounds of the watchdog, from the settings.
struct StallLimits {
    /// Below this a stream is never taken for stalled: engines pause while they read prompts.
    Milliseconds minSilence{400};
    /// Above this it always is; also holds before the first event.
    Milliseconds maxSilence{3000};
};

/// Adds one gap. Thread safety: none; the caller owns @p statistics.
void recordGap(GapStatistics &statistics, Milliseconds gap);

/// Silence after which a resume is opened beside the stream: the mean gap and several
/// standard deviations, within the limits. Thread-safe.
Milliseconds stallThreshold(const GapStatistics &statistics, const StallLimits &limits);

} // namespace cranberry
