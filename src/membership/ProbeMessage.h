#pragma once

#include "base/Ids.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

/// Asks a member whether it or another member is alive.
struct ProbeMessage {
    /// The receiver itself, or the member that the receiver is asked to probe.
    VmId target;
};

/// Thread-safe.
QCborMap probeToCbor(const ProbeMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ProbeMessage> probeFromCbor(const QCborMap &body);

} // namespace cranberry
