#pragma once

#include "base/Units.h"

#include <QList>

#include <memory>

namespace cranberry {

class RelayRun;
class TimerService;
class TimerSubscription;

/// The queue of requests that no target can take yet. Whenever room may be available, tries the
/// requests in the order of isServedBefore().
/// Thread safety: only from the thread of the event loop.
class WaitingRequests
{
public:
    /// Precondition: @p timers outlives the object.
    explicit WaitingRequests(TimerService &timers);
    ~WaitingRequests();

    /// Adds a run and tries it until it no longer waits.
    void add(const std::shared_ptr<RelayRun> &run);
    /// Schedules a pass over all waiting requests.
    void roomChanged();
    int size() const { return int(m_waiting.size()); }

private:
    void tryAll();

    TimerService &m_timers;
    QList<std::weak_ptr<RelayRun>> m_waiting;
    std::unique_ptr<TimerSubscription> m_passTimer;
};

} // namespace cranberry
