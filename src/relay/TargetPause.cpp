#include "relay/TargetPause.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A long pause must not keep the load away long after its end.
constexpr Milliseconds MaxGrowthInterval{3000};

} // namespace

bool extendPause(TargetPause &pause, Milliseconds duration, int running, MonotonicTime now)
{
    const bool isNew = !isPaused(pause, now);
    if (isNew) {
        pause = TargetPause();
        pause.threshold = std::max(running / 2, 1);
    }
    pause.until = std::max(pause.until, now + duration);
    pause.growthInterval = std::min(duration, MaxGrowthInterval);
    pause.grownAt = pause.until;
    return isNew;
}

bool isPaused(const TargetPause &pause, MonotonicTime now)
{
    return now < pause.until;
}

bool mayStart(const TargetPause &pause, MonotonicTime now)
{
    return !isPaused(pause, now) && pause.unanswered < pause.maxUnanswered;
}

bool mayExcept(const TargetPause &pause, MonotonicTime now)
{
    return !isPaused(pause, now) || pause.exceptions < MaxPauseExceptions;
}

bool recordAccepted(TargetPause &pause, MonotonicTime now)
{
    // An answer to a request from before the pause does not end it.
    if (isPaused(pause, now))
        return false;
    if (pause.maxUnanswered < pause.threshold) {
        pause.maxUnanswered = std::min(2 * pause.maxUnanswered, pause.threshold);
    } else if (now - pause.grownAt >= pause.growthInterval) {
        ++pause.maxUnanswered;
        pause.grownAt = now;
    }
    return pause.maxUnanswered >= MaxReturning;
}

} // namespace cranberry
