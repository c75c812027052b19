// Defines the placement policies: free functions from what is known to a decision.
#pragma once

#include "configuration/Configuration.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QList>

namespace cranberry {

/// Whether each target of @p service has a home daemon that gives out its room. The baselines
/// decide on every daemon for itself. Thread-safe.
bool givenOutByHomes(const ServiceConfiguration &service);

/// Chooses among @p targets, which are the usable targets of the request's model, by the
/// policy of @p service. @p draw is a fresh random number, for round_robin the count of
/// decisions before; equal arguments give equal decisions. No I/O, no clock. Thread-safe.
Placement place(const PlacementRequest &request, const ServiceConfiguration &service,
                const QList<TargetLoad> &targets, quint64 draw);

/// The targets in turn, whatever their load.
Placement placeRoundRobin(const QList<TargetLoad> &usable, quint64 draw);
/// The target with the fewest requests, by report and own sends; ties by @p draw.
Placement placeLeastRequests(const QList<TargetLoad> &usable, quint64 draw);
/// Of two distinct targets drawn at random the one with fewer requests.
Placement placeTwoChoices(const QList<TargetLoad> &usable, quint64 draw);

} // namespace cranberry
