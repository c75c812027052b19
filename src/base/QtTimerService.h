#pragma once

#include "base/TimerService.h"

namespace cranberry {

/// Timer service on the Qt event loop of the thread that creates it.
/// Thread safety: see TimerService.
class QtTimerService final : public TimerService
{
public:
    MonotonicTime now() const override;
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override;
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override;
};

} // namespace cranberry
