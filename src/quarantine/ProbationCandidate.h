// Defines ProbationCandidate, a target that a suspect request might be sent to.
#pragma once

#include "base/Ids.h"

namespace cranberry {

struct ProbationCandidate {
    TargetId target;
    /// What a crash would destroy: requests or tokens, by whichever the caller knows.
    qint64 atStake = 0;
};

} // namespace cranberry
