// Defines how several policies are measured in turn on the same arrivals.
#pragma once

#include "base/Result.h"
#include "load/LoadSession.h"
#include "load/PolicyComparison.h"

#include <functional>

namespace cranberry::load {

struct PolicyCampaign {
    LoadTargets targets;
    TrafficMix mix;
    LoadLimits limits;
    QString service;
    QList<QString> policies;
    QList<quint64> seeds;
};

/// Runs every policy once a seed; @p onRun is told each measurement as it is there. Runs an
/// event loop until all is over. Error as of switchPolicy().
/// Precondition: as of runLoad(); there are policies and seeds.
Result<PolicyComparison> comparePolicies(
    const PolicyCampaign &campaign,
    const std::function<void(const QString &policy, quint64 seed, const LoadMetrics &metrics)>
        &onRun);

} // namespace cranberry::load
