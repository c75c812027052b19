#pragma once

#include "base/Ids.h"

namespace cranberry {

/// A target to which a suspect request may be sent.
struct ProbationCandidate {
    TargetId target;
    /// The work that a crash would destroy, in requests or in tokens, depending on the caller.
    qint64 crashCost = 0;
};

} // namespace cranberry
