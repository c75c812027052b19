// Defines SteadyLoad, a steady stream of short completions, each checked by its caller.
#pragma once

#include "base/Units.h"

#include <QList>
#include <QString>

#include <memory>
#include <vector>

namespace cranberry {

class TimerSubscription;

namespace test {

class Fleet;
class FleetStream;

/// Sends one completion after the other, at a fixed rate, through daemons in turn, as a
/// balancer does. Runs while the event loop of the test runs.
/// Thread safety: only from the thread of the fleet.
class SteadyLoad
{
public:
    /// Precondition: @p fleet outlives the load.
    SteadyLoad(Fleet &fleet, Milliseconds interval, int maxTokens);
    ~SteadyLoad();
    SteadyLoad(const SteadyLoad &) = delete;
    SteadyLoad &operator=(const SteadyLoad &) = delete;

    /// The daemons that the balancer sends to from now on, by index.
    void setDaemons(const QList<int> &daemons) { m_daemons = daemons; }
    /// Sends no more.
    void stop();

    int sentCount() const { return int(m_sent.size()); }
    /// Requests that are not answered yet.
    int openCount() const;
    /// Waits for all answers. Precondition: stopped.
    bool waitAll();
    /// Requests whose caller did not get its own whole answer; each is printed.
    int countCut() const;

private:
    struct Sent {
        QString prompt;
        int daemon = 0;
        std::unique_ptr<FleetStream> stream;
    };

    void send();

    Fleet &m_fleet;
    const int m_maxTokens;
    QList<int> m_daemons;
    std::vector<Sent> m_sent;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace test
} // namespace cranberry
