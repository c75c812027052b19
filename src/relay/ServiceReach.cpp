#include "relay/ServiceReach.h"

#include <algorithm>

namespace cranberry {

namespace {

/// An answer this recent shows that the service is reachable despite a failed attempt.
constexpr Milliseconds RecentAnswer{300};
/// Interval between probes of a service that is reachable, however many attempts fail.
constexpr Milliseconds ReachableProbeInterval{1000};

bool isRateLimited(const ServiceReach &reach, MonotonicTime now)
{
    const Milliseconds interval =
        reach.isUnreachable ? UnreachableProbeInterval : ReachableProbeInterval;
    return reach.isProbing || now - reach.probedAt < interval;
}

} // namespace

void recordRequest(ServiceReach &reach, Milliseconds patience, MonotonicTime now)
{
    const MonotonicTime due = now + patience;
    reach.silentAt = std::min(reach.silentAt.value_or(due), due);
}

bool recordReachAnswer(ServiceReach &reach, bool isNewConnection, MonotonicTime now)
{
    reach.answeredAt = now;
    reach.silentAt.reset();
    if (!isNewConnection)
        return false;
    reach.answeredNewAt = now;
    if (!reach.isUnreachable)
        return false;
    reach.isUnreachable = false;
    reach.changedAt = now;
    return true;
}

bool shouldProbeAfterFailure(const ServiceReach &reach, bool isNewConnection, MonotonicTime now)
{
    const MonotonicTime answered = isNewConnection ? reach.answeredNewAt : reach.answeredAt;
    return !isRateLimited(reach, now) && now - answered >= RecentAnswer;
}

bool isProbeDue(const ServiceReach &reach, MonotonicTime now)
{
    const bool isWanted = reach.isUnreachable || (reach.silentAt && *reach.silentAt <= now);
    return isWanted && !isRateLimited(reach, now);
}

bool shouldVerify(const ServiceReach &reach, MonotonicTime now)
{
    return !isRateLimited(reach, now) && now - reach.answeredNewAt >= ReachableProbeInterval;
}

void beginProbe(ServiceReach &reach, MonotonicTime now)
{
    reach.isProbing = true;
    reach.probedAt = now;
    reach.silentAt.reset();
}

bool recordProbeFailed(ServiceReach &reach, MonotonicTime now)
{
    reach.isProbing = false;
    // An ordinary request may have been answered meanwhile.
    if (reach.isUnreachable || reach.answeredNewAt >= reach.probedAt)
        return false;
    reach.isUnreachable = true;
    reach.changedAt = now;
    return true;
}

} // namespace cranberry
