#pragma once

#include "base/Ids.h"

#include <optional>

namespace cranberry {

/// The result of a suspect's request for a target.
struct ProbationDecision {
    /// The target on which the suspect may start now; empty if it must wait and ask again.
    std::optional<TargetId> start;
    /// A target that this call reserved; to be announced to other daemons.
    std::optional<TargetId> reserved;
    /// A reservation that this call cancelled; to be announced to other daemons.
    std::optional<TargetId> abandoned;
};

} // namespace cranberry
