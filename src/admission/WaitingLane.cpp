#include "admission/WaitingLane.h"

#include <algorithm>

namespace cranberry {

void insert(WaitingLane &lane, const AdmissionRequest &request, double weight)
{
    WaitingWorkspace &waiting = lane.workspaces[request.placement.workspace];
    waiting.weight = weight;
    const auto hasLowerPriority = [&](const AdmissionRequest &other) {
        return other.priority < request.priority;
    };
    const auto position =
        std::find_if(waiting.requests.begin(), waiting.requests.end(), hasLowerPriority);
    waiting.requests.insert(position, request);
    ++lane.size;
}

void remove(WaitingLane &lane, const WorkspaceId &workspace, const RequestId &request)
{
    const auto found = lane.workspaces.find(workspace);
    if (found == lane.workspaces.end())
        return;
    std::deque<AdmissionRequest> &requests = found->second.requests;
    const auto same = [&](const AdmissionRequest &other) {
        return other.placement.request == request;
    };
    const auto position = std::find_if(requests.begin(), requests.end(), same);
    if (position == requests.end())
        return;
    requests.erase(position);
    --lane.size;
    if (requests.empty())
        lane.workspaces.erase(found);
}

QList<AdmissionRequest> nextRequests(const WaitingLane &lane, const ServiceShares &shares,
                                     int maxCount)
{
    std::vector<std::pair<double, const AdmissionRequest *>> first;
    first.reserve(lane.workspaces.size());
    for (const auto &[workspace, waiting] : lane.workspaces)
        first.emplace_back(weightedTokens(shares, workspace), &waiting.requests.front());
    const auto wanted = std::min(first.size(), size_t(std::max(maxCount, 0)));
    std::partial_sort(first.begin(), first.begin() + qsizetype(wanted), first.end(),
                      [](const auto &a, const auto &b) { return a.first < b.first; });
    QList<AdmissionRequest> order;
    for (size_t i = 0; i < wanted; ++i)
        order.append(*first[i].second);
    return order;
}

int waitingCount(const WaitingLane &lane, const WorkspaceId &workspace)
{
    const auto found = lane.workspaces.find(workspace);
    return found == lane.workspaces.end() ? 0 : int(found->second.requests.size());
}

double requestsAhead(const WaitingLane &lane, const WorkspaceId &workspace, double weight)
{
    const double ownCount = 1.0 + waitingCount(lane, workspace);
    double ahead = ownCount;
    for (const auto &[other, waiting] : lane.workspaces) {
        if (other == workspace)
            continue;
        const double share = ownCount * waiting.weight / weight;
        ahead += std::min(double(waiting.requests.size()), share);
    }
    return ahead;
}

WorkspaceId workspaceToEvict(const WaitingLane &lane, const WorkspaceId &workspace, double weight)
{
    const double ownCount = 1.0 + waitingCount(lane, workspace);
    WorkspaceId mostLoaded;
    double maxLoad = ownCount / weight;
    for (const auto &[other, waiting] : lane.workspaces) {
        const double load = double(waiting.requests.size()) / waiting.weight;
        if (other != workspace && load > maxLoad) {
            maxLoad = load;
            mostLoaded = other;
        }
    }
    return mostLoaded;
}

} // namespace cranberry
