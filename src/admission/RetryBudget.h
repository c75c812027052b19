#pragma once

#include "base/Ids.h"

#include <QHash>

namespace cranberry {

/// Retries that remain. Each first attempt adds a fraction of a retry.
struct RetryAllowance {
    double retries = 0;
};

/// Limits retries to a fraction of the first attempts. Prevents retry storms: a fault that fails
/// every request would otherwise double the load on the remaining targets and overload them too.
/// With a budget of a tenth of the first attempts, retries add at most a tenth to the load.
struct RetryBudget {
    QHash<WorkspaceId, RetryAllowance> workspaces;
    QHash<TargetId, RetryAllowance> targets;
};

/// Adds to both budgets for a first attempt that is sent to @p target.
void addFirstAttempt(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target);

/// Takes one retry from both budgets if both have one left; otherwise returns false.
bool takeRetry(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target);

} // namespace cranberry
