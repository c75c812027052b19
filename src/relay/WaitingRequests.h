// Defines WaitingRequests, the requests of a daemon that no target can take now.
#pragma once

#include "base/Units.h"

#include <QList>

#include <memory>

namespace cranberry {

class RelayRun;
class TimerService;
class TimerSubscription;

/// Tries the most urgent and then the oldest first, each time that room may have come about.
/// Thread safety: only from the thread of the event loop.
class WaitingRequests
{
public:
    /// Precondition: @p timers outlives the object.
    explicit WaitingRequests(TimerService &timers);
    ~WaitingRequests();

    /// Adds a run, which is tried until it no longer waits. Lower @p priority goes first.
    void add(const std::shared_ptr<RelayRun> &run, int priority);
    /// Tries all soon.
    void roomChanged();
    int size() const { return int(m_waiting.size()); }

private:
    struct Entry {
        std::weak_ptr<RelayRun> run;
        int priority = 0;
    };

    void tryAll();

    TimerService &m_timers;
    QList<Entry> m_waiting;
    std::unique_ptr<TimerSubscription> m_soon;
};

} // namespace cranberry
