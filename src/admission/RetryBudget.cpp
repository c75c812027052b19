#include "admission/RetryBudget.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr double RetriesPerFirstAttempt = 0.1;
/// The initial value allows a workspace with little traffic a few retries. The maximum prevents it
/// from accumulating enough for a retry storm.
constexpr double InitialRetries = 3;
constexpr double MaxRetries = 10;

template <typename Id>
RetryAllowance &allowance(QHash<Id, RetryAllowance> &table, const Id &key)
{
    auto found = table.find(key);
    if (found == table.end())
        found = table.insert(key, {InitialRetries});
    return *found;
}

void addRetryFraction(RetryAllowance &allowance)
{
    allowance.retries = std::min(allowance.retries + RetriesPerFirstAttempt, MaxRetries);
}

} // namespace

void addFirstAttempt(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target)
{
    addRetryFraction(allowance(budget.workspaces, workspace));
    addRetryFraction(allowance(budget.targets, target));
}

bool takeRetry(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target)
{
    RetryAllowance &ofWorkspace = allowance(budget.workspaces, workspace);
    RetryAllowance &ofTarget = allowance(budget.targets, target);
    if (ofWorkspace.retries < 1 || ofTarget.retries < 1)
        return false;
    ofWorkspace.retries -= 1;
    ofTarget.retries -= 1;
    return true;
}

} // namespace cranberry
