#pragma once

#include "base/Units.h"

#include <optional>

namespace cranberry {

/// An engine's load as the engine reports it, with some delay.
struct EngineReport {
    int queued = 0;
    int running = 0;
    /// Key-value cache memory that the engine cannot reclaim. It frees the rest on demand.
    Tokens used;
    Tokens total;
    /// The time until the engine leaves.
    std::optional<Milliseconds> leavesIn;
    bool isLeaving = false;
    /// The start of the engine that reports; unset if engines do not say.
    std::optional<Incarnation> incarnation;
};

} // namespace cranberry
