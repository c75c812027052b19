#include "admission/ServiceShares.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Counters at or below the floor carry no information. Dropping them limits the table to recently
/// active workspaces.
constexpr int ChargesBetweenSweeps = 4096;

void dropIdleCounters(ServiceShares &shares)
{
    shares.chargesSinceSweep = 0;
    shares.weightedTokens.removeIf(
        [&](const auto &entry) { return entry.value() <= shares.floor; });
}

} // namespace

double weightedTokens(const ServiceShares &shares, const WorkspaceId &workspace)
{
    return shares.weightedTokens.value(workspace, shares.floor);
}

void charge(ServiceShares &shares, const WorkspaceId &workspace, Tokens tokens, double weight)
{
    auto found = shares.weightedTokens.find(workspace);
    if (found == shares.weightedTokens.end())
        found = shares.weightedTokens.insert(workspace, shares.floor);
    *found += double(tokens.value()) / weight;
    if (++shares.chargesSinceSweep >= ChargesBetweenSweeps)
        dropIdleCounters(shares);
}

void liftToFloor(ServiceShares &shares, const WorkspaceId &workspace)
{
    const double lifted = std::max(weightedTokens(shares, workspace), shares.floor);
    shares.weightedTokens.insert(workspace, lifted);
}

void raiseFloor(ServiceShares &shares, const WorkspaceId &workspace)
{
    shares.floor = std::max(shares.floor, weightedTokens(shares, workspace));
}

} // namespace cranberry
