// Defines WaitingRequests, the requests of a daemon that no target can take now.
#pragma once

#include "base/Units.h"

#include <QList>

#include <memory>

namespace cranberry {

class RelayRun;
class TimerService;
class TimerSubscription;

/// Each time that room may have come about, tries those first that can still be answered on time;
/// among them the most urgent, and then those with the shortest answers, of which more are served
/// with the same memory. The others follow in the order of their arrival.
/// Thread safety: only from the thread of the event loop.
class WaitingRequests
{
public:
    /// Precondition: @p timers outlives the object.
    explicit WaitingRequests(TimerService &timers);
    ~WaitingRequests();

    /// Adds a run, which is tried until it no longer waits.
    void add(const std::shared_ptr<RelayRun> &run);
    /// Tries all soon.
    void roomChanged();
    int size() const { return int(m_waiting.size()); }

private:
    void tryAll();

    TimerService &m_timers;
    QList<std::weak_ptr<RelayRun>> m_waiting;
    std::unique_ptr<TimerSubscription> m_soon;
};

} // namespace cranberry
