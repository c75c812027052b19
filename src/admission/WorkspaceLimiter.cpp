#include "admission/WorkspaceLimiter.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// The bucket holds the requests of one second, and at least one request.
double bucketSize(const WorkspaceLimits &limits)
{
    return std::max(limits.requestsPerSecond, 1.0);
}

void refillBudget(WorkspaceUsage &use, const WorkspaceLimits &limits, MonotonicTime now)
{
    const std::chrono::duration<double> passed = now - use.refilledAt;
    use.availableRequests = std::min(
        use.availableRequests + passed.count() * limits.requestsPerSecond, bucketSize(limits));
    use.refilledAt = now;
}

Error overLimitError(const QString &detail, double seconds)
{
    Error error;
    error.kind = ErrorKind::OverLimit;
    error.detail = detail;
    error.retryAfterSeconds = std::max(1, int(std::ceil(seconds)));
    return error;
}

} // namespace

std::optional<Error> acquireSlot(WorkspaceLimiter &limiter, const RequestId &request,
                                 const WorkspaceId &workspace, const WorkspaceLimits &limits,
                                 MonotonicTime now)
{
    auto found = limiter.usage.find(workspace);
    if (found == limiter.usage.end())
        found = limiter.usage.insert(workspace, {0, bucketSize(limits), now});
    WorkspaceUsage &use = *found;
    if (limits.concurrentRequests > 0 && use.concurrent >= limits.concurrentRequests) {
        return overLimitError(
            QStringLiteral("The workspace has %1 requests in progress, its limit.")
                .arg(use.concurrent),
            1);
    }
    if (limits.requestsPerSecond > 0) {
        refillBudget(use, limits, now);
        if (use.availableRequests < 1) {
            return overLimitError(
                QStringLiteral("The workspace exceeded its limit of %1 requests per second.")
                    .arg(limits.requestsPerSecond),
                (1 - use.availableRequests) / limits.requestsPerSecond);
        }
        use.availableRequests -= 1;
    }
    ++use.concurrent;
    limiter.requests.insert(request, workspace);
    return std::nullopt;
}

void releaseSlot(WorkspaceLimiter &limiter, const RequestId &request)
{
    const auto found = limiter.requests.find(request);
    if (found == limiter.requests.end())
        return;
    --limiter.usage[*found].concurrent;
    limiter.requests.erase(found);
}

} // namespace cranberry
