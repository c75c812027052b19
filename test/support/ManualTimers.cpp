#include "support/ManualTimers.h"

namespace cranberry::test {

struct ManualTimers::Entry {
    MonotonicTime due;
    /// 0 for one call only.
    Milliseconds interval{0};
    Callback callback;
    bool active = true;
};

class ManualTimers::Subscription final : public TimerSubscription
{
public:
    explicit Subscription(std::shared_ptr<Entry> entry)
        : m_entry(std::move(entry))
    {
    }
    ~Subscription() override { m_entry->active = false; }

private:
    std::shared_ptr<Entry> m_entry;
};

MonotonicTime ManualTimers::now() const
{
    return m_now;
}

std::unique_ptr<TimerSubscription> ManualTimers::every(Milliseconds interval, Callback callback)
{
    return add(interval, interval, std::move(callback));
}

std::unique_ptr<TimerSubscription> ManualTimers::after(Milliseconds delay, Callback callback)
{
    return add(delay, Milliseconds(0), std::move(callback));
}

std::unique_ptr<TimerSubscription> ManualTimers::add(Milliseconds delay, Milliseconds interval,
                                                     Callback callback)
{
    auto entry = std::make_shared<Entry>();
    entry->due = m_now + delay;
    entry->interval = interval;
    entry->callback = std::move(callback);
    m_entries.push_back(entry);
    return std::make_unique<Subscription>(std::move(entry));
}

std::shared_ptr<ManualTimers::Entry> ManualTimers::nextDue(MonotonicTime until) const
{
    std::shared_ptr<Entry> next;
    for (const std::weak_ptr<Entry> &weak : m_entries) {
        const std::shared_ptr<Entry> entry = weak.lock();
        if (!entry || !entry->active || entry->due > until)
            continue;
        if (!next || entry->due < next->due)
            next = entry;
    }
    return next;
}

void ManualTimers::advance(Milliseconds duration)
{
    const MonotonicTime until = m_now + duration;
    while (const std::shared_ptr<Entry> entry = nextDue(until)) {
        m_now = entry->due;
        if (entry->interval > Milliseconds(0))
            entry->due += entry->interval;
        else
            entry->active = false;
        const Callback callback = entry->callback;
        callback();
    }
    m_now = until;
    m_entries.remove_if([](const std::weak_ptr<Entry> &entry) { return entry.expired(); });
}

} // namespace cranberry::test
