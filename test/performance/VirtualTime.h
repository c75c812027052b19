// Defines VirtualTime, a timer service that jumps from event to event.
#pragma once

#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <map>

namespace cranberry::bench {

/// Thread safety: one thread.
class VirtualTime final : public TimerService
{
public:
    MonotonicTime now() const override { return m_now; }

    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override
    {
        auto active = std::make_shared<bool>(true);
        repeat(interval, std::make_shared<Callback>(std::move(callback)), active);
        return std::make_unique<Subscription>(active);
    }

    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override
    {
        auto active = std::make_shared<bool>(true);
        at(m_now + delay, [active, callback = std::move(callback)] {
            if (*active)
                callback();
        });
        return std::make_unique<Subscription>(active);
    }

    void at(MonotonicTime time, Callback callback) { m_events.emplace(time, std::move(callback)); }

    void run(MonotonicTime until)
    {
        while (!m_events.empty() && m_events.begin()->first <= until) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = until;
    }

private:
    class Subscription final : public TimerSubscription
    {
    public:
        explicit Subscription(std::shared_ptr<bool> active)
            : m_active(std::move(active))
        {
        }
        ~Subscription() override { *m_active = false; }

    private:
        std::shared_ptr<bool> m_active;
    };

    void repeat(Milliseconds interval, const std::shared_ptr<Callback> &callback,
                const std::shared_ptr<bool> &active)
    {
        at(m_now + interval, [this, interval, callback, active] {
            if (!*active)
                return;
            (*callback)();
            if (*active)
                repeat(interval, callback, active);
        });
    }

    MonotonicTime m_now{std::chrono::hours(1)};
    std::multimap<MonotonicTime, Callback> m_events;
};

} // namespace cranberry::bench
