// Defines QtTimerService, the timer service of a Qt event loop.
#pragma once

#include "base/TimerService.h"

namespace cranberry {

/// Timer service on the event loop of the thread that makes it.
/// Thread safety: as TimerService states.
class QtTimerService final : public TimerService
{
public:
    MonotonicTime now() const override;
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override;
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override;
};

} // namespace cranberry
