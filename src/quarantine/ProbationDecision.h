// Defines ProbationDecision, what a suspect that wants a target gets.
#pragma once

#include "base/Ids.h"

#include <optional>

namespace cranberry {

struct ProbationDecision {
    /// Where it may run now; empty: it has to wait and ask again.
    std::optional<TargetId> start;
    /// A target that was reserved for it now; other daemons should hear of it.
    std::optional<TargetId> reserved;
    /// A reservation that it lost; other daemons should hear of it.
    std::optional<TargetId> givenUp;
};

} // namespace cranberry
