// Defines LimitSimulation, daemons that keep the rate limit of one target in virtual time.
#pragma once

#include "base/Units.h"
#include "relay/RatePermits.h"

#include <map>
#include <random>
#include <vector>

namespace cranberry::test {

/// How the daemons of a LimitSimulation share the limit.
enum class LimitPolicy {
    /// Each daemon paces its requests to an equal part of the limit; see coldPace().
    EqualParts,
    /// Each daemon asks the owner of the target for permits; see RatePermits.h.
    Permits,
};

/// What happens in a LimitSimulation.
struct LimitScenario {
    LimitPolicy policy = LimitPolicy::Permits;
    int daemons = 9;
    double perSecond = 2.8;
    /// Requests per second from all daemons together.
    double demand = 20;
    /// The share of the demand that arrives at the first tenth of the daemons; the rest is even.
    double shareOfFirstTenth = 0.1;
    double lossRate = 0;
    double duplicationRate = 0;
    Milliseconds maxDelay{5};
    /// From this time on the second half of the daemons is cut off from the first; zero: never.
    Milliseconds partitionAt{0};
    /// At this time the first owner ends for good; zero: never. The next one follows at once.
    Milliseconds ownerEndsAt{0};
    Milliseconds duration{30000};
    /// A request that cannot be sent waits this long.
    Milliseconds patience{90};
};

/// The requests that reached the target.
struct LimitOutcome {
    int sent = 0;
    int demanded = 0;
    int mostInWindow = 0;
    /// Part of the limit that was used after the first seconds.
    double use = 0;
    int messages = 0;
};

/// Runs @p scenario in steps of a few milliseconds. Thread-safe.
LimitOutcome simulateLimit(const LimitScenario &scenario, unsigned seed);

} // namespace cranberry::test
