// Defines ManualTimers, a timer service whose time a test moves itself.
#pragma once

#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <list>

namespace cranberry::test {

/// Thread safety: one thread.
class ManualTimers final : public TimerService
{
public:
    MonotonicTime now() const override;
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override;
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override;

    /// Moves time on and calls back what falls due, in its order.
    void advance(Milliseconds duration);

private:
    struct Entry;
    class Subscription;

    std::unique_ptr<TimerSubscription> add(Milliseconds delay, Milliseconds interval,
                                           Callback callback);
    std::shared_ptr<Entry> nextDue(MonotonicTime until) const;

    MonotonicTime m_now{std::chrono::hours(1)};
    std::list<std::weak_ptr<Entry>> m_entries;
};

} // namespace cranberry::test
