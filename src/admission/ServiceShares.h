#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>

namespace cranberry {

/// Virtual token counters for fair sharing of an overloaded service: the tokens that each workspace
/// has received from one service, divided by its weight ("Fairness in Serving Large Language
/// Models", Sheng et al.). The workspace with the lowest counter is served next.
struct ServiceShares {
    QHash<WorkspaceId, double> weightedTokens;
    /// The counter of the workspace that was served last. A workspace that becomes active again
    /// starts here, so that it accumulates no credit while idle.
    double floor = 0;
    int chargesSinceSweep = 0;
};

/// The counter of @p workspace.
double weightedTokens(const ServiceShares &shares, const WorkspaceId &workspace);

/// Adds @p tokens to the counter of @p workspace. Precondition: @p weight is positive.
void charge(ServiceShares &shares, const WorkspaceId &workspace, Tokens tokens, double weight);

/// Raises the counter of @p workspace, which had no waiting request, to the floor.
void liftToFloor(ServiceShares &shares, const WorkspaceId &workspace);

/// Raises the floor to the counter of @p workspace, which is being served.
void raiseFloor(ServiceShares &shares, const WorkspaceId &workspace);

} // namespace cranberry
