// Defines PauseSimulation, daemons and targets that ask for pauses when they are full, in virtual
// time.
#pragma once

#include "base/Units.h"

namespace cranberry::test {

/// What a daemon does with a target that asked it for a pause.
enum class PausePolicy {
    /// Nothing, as before pauses were read.
    Ignore,
    /// The target is chosen a tenth as often.
    Weight,
    /// The target is excluded; the whole load returns at its end.
    Exclude,
    /// The target is excluded; the load returns by doubling after each answer.
    ExcludeAndDouble,
    /// The target is excluded; the load returns in steps. See TargetPause.
    ExcludeAndReturn,
    /// As ExcludeAndReturn, at all daemons.
    Shared,
};

/// Thread-safe.
const char *pausePolicyName(PausePolicy policy);

struct PauseScenario {
    PausePolicy policy = PausePolicy::ExcludeAndReturn;
    int daemons = 4;
    int targets = 4;
    /// Targets that have a quarter of their slots in the middle half of the time.
    int inTrouble = 1;
    int slotsPerTarget = 8;
    Milliseconds serviceTime{50};
    Milliseconds pause{3000};
    /// Requests that wait at a target.
    int queue = 4;
    /// Sound targets ask for pauses too when they are full.
    bool doAllAsk = false;
    /// Demand relative to the slots of all sound targets.
    double demand = 0.5;
    Milliseconds duration{20'000};
};

struct PauseOutcome {
    int requests = 0;
    int served = 0;
    /// Requests that targets rejected.
    int rejections = 0;
    int pauses = 0;
    /// The most requests that a target received from a daemon in a pause, from half a second on.
    int mostInPause = 0;
    /// The part of the requests that was served in the last quarter, after the trouble.
    double servedAfter = 0;
};

/// Thread-safe.
PauseOutcome simulatePauses(const PauseScenario &scenario, unsigned seed);

} // namespace cranberry::test
