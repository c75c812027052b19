// Defines Placement, the outcome of one placement decision.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QString>

namespace cranberry {

enum class PlacementOutcome {
    Chosen,
    /// No target can take it now; ask again when something changes.
    Wait,
    /// No target that serves it is usable and not excluded; ask again when one comes.
    NoneUsable,
};

struct Placement {
    PlacementOutcome outcome = PlacementOutcome::Wait;
    /// Set if Chosen.
    TargetId target;
    /// Set if Chosen: how long the answer is expected to be.
    Tokens expectedTokens;
    /// The reason in key=value form for the log line of the decision.
    QString reason;
};

} // namespace cranberry
