#include "relay/WaitingRequests.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/RelayRun.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Changes of room within this time are handled in one pass.
constexpr Milliseconds PassDelay{5};

bool isServedBefore(const std::shared_ptr<RelayRun> &a, const std::shared_ptr<RelayRun> &b)
{
    if (a->isOverdue() != b->isOverdue())
        return b->isOverdue();
    if (a->isOverdue())
        return a->arrived() < b->arrived();
    if (a->priority() != b->priority())
        return a->priority() < b->priority();
    return a->expectedOutput() < b->expectedOutput();
}

} // namespace

WaitingRequests::WaitingRequests(TimerService &timers)
    : m_timers(timers)
{
}

WaitingRequests::~WaitingRequests() = default;

void WaitingRequests::add(const std::shared_ptr<RelayRun> &run)
{
    m_waiting.append(run);
}

void WaitingRequests::roomChanged()
{
    if (m_waiting.isEmpty() || m_passTimer)
        return;
    m_passTimer = m_timers.after(PassDelay, [this] {
        m_passTimer.reset();
        tryAll();
    });
}

void WaitingRequests::tryAll()
{
    QList<std::shared_ptr<RelayRun>> runs;
    for (const std::weak_ptr<RelayRun> &weak : std::exchange(m_waiting, {})) {
        const std::shared_ptr<RelayRun> run = weak.lock();
        if (run && run->isWaiting())
            runs.append(run);
    }
    std::stable_sort(runs.begin(), runs.end(), isServedBefore);
    for (const std::shared_ptr<RelayRun> &run : std::as_const(runs)) {
        if (run->isWaiting() && !run->tryPlace())
            m_waiting.append(run);
    }
}

} // namespace cranberry
