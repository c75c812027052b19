#include "admission/WorkspaceUsage.h"

#include "admission/Urgency.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cranberry {

namespace {

constexpr double DecaySeconds = 2;
/// Reports are repeated while requests wait; older ones say nothing about the present use.
constexpr Milliseconds ReportTimeout{1000};
/// A workspace with less has no recent use.
constexpr double MinWorkPerSecond = 0.01;
/// Bounds the table; workspaces without recent use are dropped beyond.
constexpr qsizetype MaxWorkspaces = 4096;
/// Use relative to the fair part from which the next level begins.
constexpr std::array<double, MaxOveruseLevel> LevelBounds{1.2, 2, 4};

double decayed(const WorkspaceUsage::Decayed &use, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - use.updatedAt;
    return use.work * std::exp(-age.count() / DecaySeconds);
}

} // namespace

void recordUse(WorkspaceUsage &usage, const WorkspaceId &workspace, double work, MonotonicTime now)
{
    if (usage.own.size() >= MaxWorkspaces)
        usage.own.removeIf([&](const auto &entry) {
            return decayed(entry.value(), now) / DecaySeconds < MinWorkPerSecond;
        });
    const auto known = usage.own.find(workspace);
    if (known != usage.own.end())
        *known = {decayed(*known, now) + work, now};
    else if (usage.own.size() < MaxWorkspaces)
        usage.own.insert(workspace, {work, now});
}

void setReported(WorkspaceUsage &usage, const VmId &peer, QList<WorkspaceRate> rates,
                 MonotonicTime now)
{
    usage.peers.removeIf(
        [&](const auto &entry) { return now - entry.value().reportedAt > ReportTimeout; });
    usage.peers.insert(peer, {std::move(rates), now});
}

QList<WorkspaceRate> ownRates(const WorkspaceUsage &usage, int count, MonotonicTime now)
{
    QList<WorkspaceRate> rates;
    for (auto entry = usage.own.cbegin(); entry != usage.own.cend(); ++entry) {
        const double rate = decayed(*entry, now) / DecaySeconds;
        if (rate >= MinWorkPerSecond)
            rates.append({entry.key(), rate});
    }
    std::sort(rates.begin(), rates.end(), [](const WorkspaceRate &a, const WorkspaceRate &b) {
        return a.workPerSecond > b.workPerSecond;
    });
    return rates.first(std::min<qsizetype>(rates.size(), count));
}

QList<WorkspaceRate> fleetRates(const WorkspaceUsage &usage, MonotonicTime now)
{
    QHash<WorkspaceId, double> sums;
    for (const WorkspaceRate &rate : ownRates(usage, MaxWorkspaces, now))
        sums[rate.workspace] += rate.workPerSecond;
    for (const WorkspaceUsage::Reported &peer : usage.peers) {
        if (now - peer.reportedAt > ReportTimeout)
            continue;
        for (const WorkspaceRate &rate : peer.rates)
            sums[rate.workspace] += rate.workPerSecond;
    }
    QList<WorkspaceRate> rates;
    for (auto sum = sums.cbegin(); sum != sums.cend(); ++sum)
        rates.append({sum.key(), *sum});
    return rates;
}

int overuseLevel(const WorkspaceUsage &usage, const WorkspaceId &workspace,
                 const QHash<WorkspaceId, double> &weights, MonotonicTime now)
{
    const QList<WorkspaceRate> rates = fleetRates(usage, now);
    if (rates.size() < 2)
        return 0;
    double total = 0;
    double totalWeight = 0;
    double own = 0;
    for (const WorkspaceRate &rate : rates) {
        total += rate.workPerSecond;
        totalWeight += weights.value(rate.workspace, 1);
        if (rate.workspace == workspace)
            own = rate.workPerSecond;
    }
    const double part = total * weights.value(workspace, 1) / totalWeight;
    return int(std::count_if(LevelBounds.begin(), LevelBounds.end(),
                             [&](double bound) { return own > bound * part; }));
}

} // namespace cranberry
