#pragma once

#include "configuration/Configuration.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QList>

namespace cranberry {

/// True if the capacity of each target of @p service is granted by a single daemon, the target's
/// home. With the baseline policies every daemon decides on its own. Thread-safe.
bool usesHomeDaemons(const ServiceConfiguration &service);

/// Chooses one of @p targets, the usable targets of the request's model, by the policy of @p
/// service. @p draw is a new random number, or for round_robin the number of earlier decisions.
/// Equal arguments give equal decisions. No I/O and no clock. Thread-safe.
Placement place(const PlacementRequest &request, const ServiceConfiguration &service,
                const QList<TargetLoad> &targets, quint64 draw);

/// Takes the targets in order, regardless of load.
Placement placeRoundRobin(const QList<TargetLoad> &usable, quint64 draw);
/// Takes the target with the fewest requests, counting the load report and this daemon's own sends.
/// @p draw breaks ties.
Placement placeLeastRequests(const QList<TargetLoad> &usable, quint64 draw);
/// Draws two distinct targets at random and takes the one with fewer requests.
Placement placeTwoChoices(const QList<TargetLoad> &usable, quint64 draw);

} // namespace cranberry
