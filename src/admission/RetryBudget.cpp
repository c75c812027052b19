#include "admission/RetryBudget.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr double RetriesPerFirstAttempt = 0.1;
/// A quiet workspace may still retry a few times, and a long quiet spell saves up no storm.
constexpr double InitialRetries = 3;
constexpr double MostRetries = 10;

template <typename Id>
RetryAllowance &allowance(QHash<Id, RetryAllowance> &table, const Id &key)
{
    auto found = table.find(key);
    if (found == table.end())
        found = table.insert(key, {InitialRetries});
    return *found;
}

void add(RetryAllowance &allowance)
{
    allowance.retries = std::min(allowance.retries + RetriesPerFirstAttempt, MostRetries);
}

} // namespace

void addFirstAttempt(RetryBudget &budget, const WorkspaceId &workspace, const TargetId &target)
{
    add(allowance(budget.workspaces, workspace));
    add(allowance(budget.targets, target));
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
