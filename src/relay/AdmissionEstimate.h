#pragma once

#include "admission/FleetDemand.h"

#include <optional>

namespace cranberry {

/// When a request is expected to get room, and what that is based on.
struct AdmissionEstimate {
    /// Work that goes before the request, at all daemons.
    Work ahead;
    /// Room seconds of its level that are placed per second; unset while it is not known.
    std::optional<double> placedPerSecond;
    std::optional<Milliseconds> wait;
    /// Number of daemons whose reports are used, and the age of the oldest of these.
    int heard = 0;
    Milliseconds oldestReport{0};
};

} // namespace cranberry
