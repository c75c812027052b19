#include "relay/WaitingRequests.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/RelayRun.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Several changes of room within this time are one pass over the waiting requests.
constexpr Milliseconds PassDelay{5};

} // namespace

WaitingRequests::WaitingRequests(TimerService &timers)
    : m_timers(timers)
{
}

WaitingRequests::~WaitingRequests() = default;

void WaitingRequests::add(const std::shared_ptr<RelayRun> &run, int priority)
{
    const auto place =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [priority](const Entry &entry) { return entry.priority > priority; });
    m_waiting.insert(place, {run, priority});
}

void WaitingRequests::roomChanged()
{
    if (m_waiting.isEmpty() || m_soon)
        return;
    m_soon = m_timers.after(PassDelay, [this] {
        m_soon.reset();
        tryAll();
    });
}

void WaitingRequests::tryAll()
{
    const QList<Entry> waiting = std::exchange(m_waiting, {});
    for (const Entry &entry : waiting) {
        const std::shared_ptr<RelayRun> run = entry.run.lock();
        if (run && run->isWaiting() && !run->tryPlace())
            m_waiting.append(entry);
    }
}

} // namespace cranberry
