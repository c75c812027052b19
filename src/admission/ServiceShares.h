// Defines ServiceShares, the virtual token counters that make a crowded service fair.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>

namespace cranberry {

/// What each workspace got of one service, in tokens divided by its weight ("Fairness in
/// Serving Large Language Models", Sheng et al.). Whoever got least is served next.
struct ServiceShares {
    QHash<WorkspaceId, double> served;
    /// The counter of whoever was served last: where one starts that comes back from idling,
    /// so that no credit is saved up by idling.
    double floor = 0;
    int chargesSinceSweep = 0;
};

/// The counter of @p workspace.
double served(const ServiceShares &shares, const WorkspaceId &workspace);

/// Adds @p tokens to what @p workspace got. Precondition: @p weight is positive.
void charge(ServiceShares &shares, const WorkspaceId &workspace, Tokens tokens, double weight);

/// Lifts @p workspace, which did not wait, to the floor.
void startWaiting(ServiceShares &shares, const WorkspaceId &workspace);

/// Moves the floor to the counter of @p workspace, which is served now.
void startServing(ServiceShares &shares, const WorkspaceId &workspace);

} // namespace cranberry
