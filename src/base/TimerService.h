// Defines TimerService, the one source of time that parts subscribe to.
#pragma once

#include "base/Units.h"

#include <functional>
#include <memory>

namespace cranberry {

class TimerSubscription;

/// Calls back at times. Parts take it by reference, so that a test can hand them one whose
/// time it moves itself.
/// Thread safety: every method only from the thread that the service was made in; callbacks
/// run in that thread and never inside a call to every() or after().
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /// Time since an arbitrary start; it never steps.
    virtual MonotonicTime now() const = 0;

    /// Calls @p callback each @p interval until the subscription is destroyed.
    /// Precondition: @p interval is positive.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> every(Milliseconds interval,
                                                                   Callback callback) = 0;

    /// Calls @p callback once after @p delay unless the subscription is destroyed before.
    /// Precondition: @p delay is not negative.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> after(Milliseconds delay,
                                                                   Callback callback) = 0;
};

} // namespace cranberry
