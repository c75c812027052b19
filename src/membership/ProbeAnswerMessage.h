// Defines ProbeAnswerMessage, what became of a probe.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

struct ProbeAnswerMessage {
    VmId target;
    bool reached = false;
    /// Of the target, if reached.
    Incarnation incarnation;
};

/// Thread-safe.
QCborMap probeAnswerToCbor(const ProbeAnswerMessage &message);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<ProbeAnswerMessage> probeAnswerFromCbor(const QCborMap &body);

} // namespace cranberry
