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
};

struct Placement {
    PlacementOutcome outcome = PlacementOutcome::Wait;
    /// Set if Chosen.
    TargetId target;
    /// The reason in key=value form for the log line of the decision.
    QString reason;
};

} // namespace cranberry
