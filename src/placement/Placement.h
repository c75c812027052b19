#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QString>

namespace cranberry {

enum class PlacementOutcome {
    Chosen,
    /// No usable target has capacity now; retry when the load changes.
    Wait,
    /// No target of the service is both usable and not excluded; retry when one becomes usable.
    NoUsableTarget,
};

/// The result of one placement decision.
struct Placement {
    PlacementOutcome outcome = PlacementOutcome::Wait;
    /// Set if Chosen.
    TargetId target;
    /// Set if Chosen: the expected length of the answer.
    Tokens expectedTokens;
    /// The reason for the decision in key=value form, for the log.
    QString reason;
};

} // namespace cranberry
