#pragma once

#include "base/Result.h"
#include "load/LoadSession.h"
#include "load/PolicyComparison.h"

#include <functional>

namespace cranberry::load {

/// Parameters of a comparison of policies on the same arrivals.
struct PolicyCampaign {
    LoadTargets targets;
    TrafficMix mix;
    LoadLimits limits;
    QString service;
    QList<QString> policies;
    QList<quint64> seeds;
};

/// Measures every policy once per seed and calls @p onRun after each measurement. Runs an event
/// loop until the last run has ended. Returns the error of switchPolicy() if one occurs.
/// Precondition: that of runLoad(), and at least one policy and one seed.
Result<PolicyComparison> comparePolicies(
    const PolicyCampaign &campaign,
    const std::function<void(const QString &policy, quint64 seed, const LoadMetrics &metrics)>
        &onRun);

} // namespace cranberry::load
