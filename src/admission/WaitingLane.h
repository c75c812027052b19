// Defines WaitingLane, the requests that wait for one model of one service.
#pragma once

#include "admission/AdmissionRequest.h"
#include "admission/ServiceShares.h"

#include <QList>

#include <deque>
#include <functional>
#include <map>

namespace cranberry {

struct WaitingWorkspace {
    double weight = 1;
    /// By priority, then by arrival. Never empty while in a lane.
    std::deque<AdmissionRequest> requests;
};

struct WaitingLane {
    std::map<WorkspaceId, WaitingWorkspace> workspaces;
    int size = 0;
    /// How often others passed the request whose turn it is.
    int passed = 0;
};

/// Adds @p request behind those of its workspace with its priority or a larger one.
void insert(WaitingLane &lane, const AdmissionRequest &request, double weight);

/// Takes out @p request of @p workspace; ignored if it is not there.
void remove(WaitingLane &lane, const WorkspaceId &workspace, const RequestId &request);

/// The first request of each workspace, in the order of the shares.
QList<AdmissionRequest> turns(const WaitingLane &lane, const ServiceShares &shares, int atMost);

/// How many requests of @p workspace wait.
int requestsOf(const WaitingLane &lane, const WorkspaceId &workspace);

/// How many waiting requests a new one of @p workspace has to let pass, itself included, if
/// everyone gets its share.
double requestsAhead(const WaitingLane &lane, const WorkspaceId &workspace, double weight);

/// The workspace that waits with most requests for its weight, if that is more than
/// @p workspace would have with one more: it makes room in a full queue.
WorkspaceId crowdingWorkspace(const WaitingLane &lane, const WorkspaceId &workspace, double weight);

} // namespace cranberry
