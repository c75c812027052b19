#include "relay/WaitingRequests.h"

#include "base/StableSortByKey.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/RelayRun.h"
#include "relay/WaitingRank.h"

namespace cranberry {

namespace {

/// Changes of room within this time are handled in one pass.
constexpr Milliseconds PassDelay{5};

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
    stableSortByKey(
        runs, [now = m_timers.now()](const auto &run) { return run->waitingRank(now); },
        isServedBefore);
    for (const std::shared_ptr<RelayRun> &run : std::as_const(runs)) {
        if (run->isWaiting() && !run->tryPlace() && !run->rejectIfUnavailable())
            m_waiting.append(run);
    }
}

} // namespace cranberry
