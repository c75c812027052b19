// Defines how one load is run and measured from start to end.
#pragma once

#include "base/Units.h"
#include "load/LoadMetrics.h"
#include "load/LoadTargets.h"
#include "load/TrafficMix.h"

namespace cranberry::load {

struct LoadLimits {
    /// A gap between tokens that is longer counts as stall time.
    Milliseconds stallThreshold{250};
    /// Time after the last arrival in which answers may still come.
    Milliseconds patience{30'000};
};

/// Runs the load drawn from @p seed and measures it. Runs an event loop until it is over.
/// Precondition: there is a QCoreApplication and at least one gateway.
LoadMetrics runLoad(const LoadTargets &targets, const TrafficMix &mix, quint64 seed,
                    const LoadLimits &limits);

} // namespace cranberry::load
