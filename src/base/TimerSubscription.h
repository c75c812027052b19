#pragma once

namespace cranberry {

/// A subscription to a TimerService. Destroying the object ends the subscription; a callback may
/// destroy its own subscription.
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
