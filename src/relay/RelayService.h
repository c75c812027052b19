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
};

} // namespace cranberry
