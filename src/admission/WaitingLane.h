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
    /// Ordered by priority, then by arrival. Never empty while in a lane.
    std::deque<AdmissionRequest> requests;
};

/// The requests that wait for one model of one service.
struct WaitingLane {
    std::map<WorkspaceId, WaitingWorkspace> workspaces;
    int size = 0;
    /// Number of times that the first request in order has been bypassed.
    int bypassCount = 0;
};

/// Inserts @p request behind the requests of its workspace with the same or a higher priority.
void insert(WaitingLane &lane, const AdmissionRequest &request, double weight);

/// Removes @p request of @p workspace; ignored if it is not in the lane.
void remove(WaitingLane &lane, const WorkspaceId &workspace, const RequestId &request);

/// The first request of each workspace, in the order of the shares, at most @p maxCount of them.
QList<AdmissionRequest> nextRequests(const WaitingLane &lane, const ServiceShares &shares,
                                     int maxCount);

/// Number of waiting requests of @p workspace.
int waitingCount(const WaitingLane &lane, const WorkspaceId &workspace);

/// The position that a new request of @p workspace would have under fair sharing: the number of
/// requests placed up to and including it.
double requestsAhead(const WaitingLane &lane, const WorkspaceId &workspace, double weight);

/// The workspace with the most waiting requests relative to its weight, if it exceeds @p workspace
/// with one more request; empty otherwise. It loses a request when the queue is full.
WorkspaceId workspaceToEvict(const WaitingLane &lane, const WorkspaceId &workspace, double weight);

} // namespace cranberry
