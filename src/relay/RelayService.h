#pragma once

#include "base/Ids.h"
#include "relay/EngineTraits.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

/// A service that requests are relayed to.
struct RelayService {
    ServiceId id;
    /// Set if its targets are engines that generate text.
    std::optional<EngineTraits> engine;
    /// Requests per second that a target can handle just after its start; zero if unlimited.
    double coldPerSecond = 0;
    /// Path of the health check of its targets; empty if they have none.
    QByteArray healthPath;
};

} // namespace cranberry
