// Defines RelayProtocols, all that a platform speaks, as one adapter translates it.
#pragma once

#include "relay/CallerProtocol.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetProtocol.h"

namespace cranberry {

struct RelayProtocols {
    CallerProtocol callers;
    TargetProtocol targets;
    StoreProtocol store;
    /// The path at which the balancer asks whether the daemon takes work.
    QByteArray readinessPath;
};

} // namespace cranberry
