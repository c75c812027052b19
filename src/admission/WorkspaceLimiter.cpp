#include "admission/WorkspaceLimiter.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// A bucket holds what a second allows, and never less than one request.
double bucketSize(const WorkspaceLimits &limits)
{
    return std::max(limits.requestsPerSecond, 1.0);
}

void fill(WorkspaceUse &use, const WorkspaceLimits &limits, MonotonicTime now)
{
    const std::chrono::duration<double> passed = now - use.filledAt;
    use.bucket =
        std::min(use.bucket + passed.count() * limits.requestsPerSecond, bucketSize(limits));
    use.filledAt = now;
}

Error overLimit(const QString &detail, double seconds)
{
    Error error;
    error.kind = ErrorKind::OverLimit;
    error.detail = detail;
    error.retryAfterSeconds = std::max(1, int(std::ceil(seconds)));
    return error;
}

} // namespace

std::optional<Error> enter(WorkspaceLimiter &limiter, const RequestId &request,
                           const WorkspaceId &workspace, const WorkspaceLimits &limits,
                           MonotonicTime now)
{
    auto found = limiter.uses.find(workspace);
    if (found == limiter.uses.end())
        found = limiter.uses.insert(workspace, {0, bucketSize(limits), now});
    WorkspaceUse &use = *found;
    if (limits.concurrentRequests > 0 && use.concurrent >= limits.concurrentRequests) {
        return overLimit(QStringLiteral("The workspace has %1 requests under way, its limit.")
                             .arg(use.concurrent),
                         1);
    }
    if (limits.requestsPerSecond > 0) {
        fill(use, limits, now);
        if (use.bucket < 1) {
            return overLimit(QStringLiteral("The workspace sent more than %1 requests a second.")
                                 .arg(limits.requestsPerSecond),
                             (1 - use.bucket) / limits.requestsPerSecond);
        }
        use.bucket -= 1;
    }
    ++use.concurrent;
    limiter.requests.insert(request, workspace);
    return std::nullopt;
}

void leave(WorkspaceLimiter &limiter, const RequestId &request)
{
    const auto found = limiter.requests.find(request);
    if (found == limiter.requests.end())
        return;
    --limiter.uses[*found].concurrent;
    limiter.requests.erase(found);
}

} // namespace cranberry
