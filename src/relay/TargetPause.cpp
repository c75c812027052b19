#include "relay/TargetPause.h"

#include <algorithm>

namespace cranberry {

void extendPause(TargetPause &pause, Milliseconds duration, MonotonicTime now)
{
    if (!isPaused(pause, now)) {
        pause.askedAt = now;
        pause.exceptions = 0;
        pause.maxUnanswered = 1;
        pause.unanswered = 0;
        ++pause.number;
    }
    pause.until = std::max(pause.until, now + duration);
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
    pause.maxUnanswered *= 2;
    return pause.maxUnanswered >= MaxReturning;
}

} // namespace cranberry
