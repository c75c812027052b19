#pragma once

#include "base/Units.h"
#include "load/LoadMetrics.h"
#include "load/LoadTargets.h"
#include "load/TrafficMix.h"

namespace cranberry::load {

/// Time limits of a load.
struct LoadLimits {
    /// A longer gap between tokens counts as stall time.
    Milliseconds stallThreshold{250};
    /// Time after the arrival period for the pending answers to complete.
    Milliseconds answerTimeout{30'000};
};

/// Runs the load drawn from @p seed and measures it. Runs an event loop until the load has ended.
/// Precondition: there is a QCoreApplication and at least one gateway.
LoadMetrics runLoad(const LoadTargets &targets, const TrafficMix &mix, quint64 seed,
                    const LoadLimits &limits);

} // namespace cranberry::load
