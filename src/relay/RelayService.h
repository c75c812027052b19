// Defines RelayService, one service that requests are relayed to.
#pragma once

#include "base/Ids.h"
#include "relay/EngineTraits.h"

#include <optional>

namespace cranberry {

struct RelayService {
    ServiceId id;
    /// Set where its targets are engines that generate.
    std::optional<EngineTraits> engine;
    /// Requests a second that a target bears that has just started; zero if it bears any number.
    double coldPerSecond = 0;
};

} // namespace cranberry
