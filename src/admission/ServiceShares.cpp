#include "admission/ServiceShares.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Counters under the floor say no more than the floor does; sweeping them out bounds the
/// table to the workspaces that were busy lately.
constexpr int ChargesBetweenSweeps = 4096;

void sweep(ServiceShares &shares)
{
    shares.chargesSinceSweep = 0;
    shares.served.removeIf([&](const auto &entry) { return entry.value() <= shares.floor; });
}

} // namespace

double served(const ServiceShares &shares, const WorkspaceId &workspace)
{
    return shares.served.value(workspace, shares.floor);
}

void charge(ServiceShares &shares, const WorkspaceId &workspace, Tokens tokens, double weight)
{
    auto found = shares.served.find(workspace);
    if (found == shares.served.end())
        found = shares.served.insert(workspace, shares.floor);
    *found += double(tokens.value()) / weight;
    if (++shares.chargesSinceSweep >= ChargesBetweenSweeps)
        sweep(shares);
}

void startWaiting(ServiceShares &shares, const WorkspaceId &workspace)
{
    const double lifted = std::max(served(shares, workspace), shares.floor);
    shares.served.insert(workspace, lifted);
}

void startServing(ServiceShares &shares, const WorkspaceId &workspace)
{
    shares.floor = std::max(shares.floor, served(shares, workspace));
}

} // namespace cranberry
