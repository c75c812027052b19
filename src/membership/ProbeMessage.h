// Defines ProbeMessage, which asks a member whether it, or another, is alive.
#pragma once

#include "base/Ids.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

struct ProbeMessage {
    /// The receiver, or whom the receiver is asked to probe.
    VmId target;
};

/// Thread-safe.
QCborMap probeToCbor(const ProbeMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ProbeMessage> probeFromCbor(const QCborMap &body);

} // namespace cranberry
