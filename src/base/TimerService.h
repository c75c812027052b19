#pragma once

#include "base/Units.h"

#include <functional>
#include <memory>

namespace cranberry {

class TimerSubscription;

/// Clock and timers for all components. Components take it by reference, so that a test can pass
/// an implementation whose time it advances itself.
/// Thread safety: every method only from the thread that created the service; callbacks run in
/// that thread and never inside a call to every() or after().
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /// Current monotonic time, relative to an arbitrary start.
    virtual MonotonicTime now() const = 0;

    /// Calls @p callback every @p interval until the subscription is destroyed.
    /// Precondition: @p interval is positive.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> every(Milliseconds interval,
                                                                   Callback callback) = 0;

    /// Calls @p callback once after @p delay unless the subscription is destroyed before.
    /// Precondition: @p delay is not negative.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> after(Milliseconds delay,
                                                                   Callback callback) = 0;
};

} // namespace cranberry
