#include "admission/WaitingLane.h"

#include <algorithm>

namespace cranberry {

void insert(WaitingLane &lane, const AdmissionRequest &request, double weight)
{
    WaitingWorkspace &waiting = lane.workspaces[request.placement.workspace];
    waiting.weight = weight;
    const auto smaller = [&](const AdmissionRequest &other) {
        return other.priority < request.priority;
    };
    const auto place = std::find_if(waiting.requests.begin(), waiting.requests.end(), smaller);
    waiting.requests.insert(place, request);
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
    const auto place = std::find_if(requests.begin(), requests.end(), same);
    if (place == requests.end())
        return;
    requests.erase(place);
    --lane.size;
    if (requests.empty())
        lane.workspaces.erase(found);
}

QList<AdmissionRequest> turns(const WaitingLane &lane, const ServiceShares &shares, int atMost)
{
    std::vector<std::pair<double, const AdmissionRequest *>> first;
    first.reserve(lane.workspaces.size());
    for (const auto &[workspace, waiting] : lane.workspaces)
        first.emplace_back(served(shares, workspace), &waiting.requests.front());
    const auto wanted = std::min(first.size(), size_t(std::max(atMost, 0)));
    std::partial_sort(first.begin(), first.begin() + qsizetype(wanted), first.end(),
                      [](const auto &a, const auto &b) { return a.first < b.first; });
    QList<AdmissionRequest> order;
    for (size_t i = 0; i < wanted; ++i)
        order.append(*first[i].second);
    return order;
}

int requestsOf(const WaitingLane &lane, const WorkspaceId &workspace)
{
    const auto found = lane.workspaces.find(workspace);
    return found == lane.workspaces.end() ? 0 : int(found->second.requests.size());
}

double requestsAhead(const WaitingLane &lane, const WorkspaceId &workspace, double weight)
{
    const double ownCount = 1.0 + requestsOf(lane, workspace);
    double ahead = ownCount;
    for (const auto &[other, waiting] : lane.workspaces) {
        if (other == workspace)
            continue;
        const double share = ownCount * waiting.weight / weight;
        ahead += std::min(double(waiting.requests.size()), share);
    }
    return ahead;
}

WorkspaceId crowdingWorkspace(const WaitingLane &lane, const WorkspaceId &workspace, double weight)
{
    const double ownCount = 1.0 + requestsOf(lane, workspace);
    WorkspaceId crowding;
    double most = ownCount / weight;
    for (const auto &[other, waiting] : lane.workspaces) {
        const double load = double(waiting.requests.size()) / waiting.weight;
        if (other != workspace && load > most) {
            most = load;
            crowding = other;
        }
    }
    return crowding;
}

} // namespace cranberry
