// Defines RetryBudget, which bounds retries to a part of the first attempts.
#pragma once

#include "base/Ids.h"

#include <QHash>

namespace cranberry {

/// Retries that may still be made; each first attempt adds a part of one.
struct RetryAllowance {
    double retries = 0;
};

/// Guards against retry storms: a fault that fails every request would otherwise double the
/// load on what is left, which fails too. With a tenth of the first attempts as budget the
/// load of retries is at most a tenth, whatever fails.
struct RetryBudget {
    QHash<WorkspaceId, RetryAllowance> workspaces;
    QHash<TargetId, RetryAllowance> targets;
};

/// Counts a first attempt that is sent to @p target.
void addFirstAttempt(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target);

/// Takes one retry of both if both have one left.
bool takeRetry(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target);

} // namespace cranberry
