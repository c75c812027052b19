// Defines TimerSubscription, whose life is that of a subscription to the timer service.
#pragma once

namespace cranberry {

/// Destroying it ends the subscription; a callback may destroy its own.
/// Thread safety: only from the thread of the timer service.
class TimerSubscription
{
public:
    TimerSubscription() = default;
    virtual ~TimerSubscription() = default;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;
};

} // namespace cranberry
