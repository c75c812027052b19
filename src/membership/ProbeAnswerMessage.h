#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

/// The result of a probe.
struct ProbeAnswerMessage {
    VmId target;
    bool reached = false;
    /// Incarnation of the target, if it was reached.
    Incarnation incarnation;
};

/// Thread-safe.
QCborMap probeAnswerToCbor(const ProbeAnswerMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ProbeAnswerMessage> probeAnswerFromCbor(const QCborMap &body);

} // namespace cranberry
