#pragma once

#include "base/Ids.h"

#include <QHash>

namespace cranberry {

/// The parts of admission control that an operator can switch off, and the weights of workspaces.
struct AdmissionSettings {
    /// The most urgent request of all daemons goes next, and plain services under pressure get no
    /// more requests than their targets have slots.
    bool order = true;
    /// Requests that cannot be served in time are rejected on arrival.
    bool earlyRejection = true;
    bool workspaceShares = true;
    /// Targets are chosen by their observed speed.
    bool observedSpeed = true;
    /// 1 for workspaces that are not named.
    QHash<WorkspaceId, double> weights;
};

} // namespace cranberry
