#pragma once

#include "relay/CallerProtocol.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetProtocol.h"

namespace cranberry {

/// The protocols of a platform as translated by its adapter.
struct RelayProtocols {
    CallerProtocol callers;
    TargetProtocol targets;
    StoreProtocol store;
    /// Path at which the balancer probes whether the daemon accepts requests.
    QByteArray readinessPath;
};

} // namespace cranberry
