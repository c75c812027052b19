// Defines EngineReport, an engine's load as it reports it with some lag.
#pragma once

#include "base/Units.h"

#include <optional>

namespace cranberry {

struct EngineReport {
    int queued = 0;
    int running = 0;
    /// Memory that cannot yield.
    Tokens used;
    Tokens total;
    /// It leaves after this time.
    std::optional<Milliseconds> leavesIn;
    bool isLeaving = false;
    /// The start that reports; unset if engines do not say.
    std::optional<Incarnation> incarnation;
};

} // namespace cranberry
