#pragma once

#include "base/QtTimerService.h"
#include "standins/users/OverlapChecks.h"
#include "standins/users/PromiseChecks.h"
#include "support/PlatformSite.h"

#include <random>
#include <vector>

namespace cranberry::soak {

/// Streams of a service of its own, whose engines leave, break streams off and fall silent. One
/// engine of two works on a generation whose connection was closed.
/// Thread safety: only from its own thread.
class AbandonedStreams
{
public:
    /// Precondition: @p site and @p promises outlive the object; @p site has its steady service.
    AbandonedStreams(test::PlatformSite &site, standin::PromiseChecks &promises, quint32 seed,
                     int daemons);

    /// Sends what is due, injects faults and collects answers. @p paused: daemons that are stopped.
    void step(const std::vector<bool> &paused);
    /// @p daemon was signalled or replaced.
    void disturbed(int daemon) { m_overlaps.disturbed(daemon, m_timers.now()); }
    /// Sends nothing more, and ends all faults.
    void stop();
    bool isOver() const { return m_calls.empty(); }

    /// The checks of generations that continue at another engine. Precondition: all calls are over.
    const standin::OverlapChecks &overlaps() const { return m_overlaps; }

private:
    struct Call {
        QByteArray id;
        std::shared_ptr<test::ClientCall> call;
    };

    void addEngine();
    void send(const std::vector<bool> &paused);
    void injectFault();

    test::PlatformSite &m_site;
    standin::PromiseChecks &m_promises;
    std::mt19937 m_random;
    const QByteArray m_prefix;
    QtTimerService m_timers;
    standin::OverlapChecks m_overlaps;
    std::vector<standin::RunnerEmulator *> m_engines;
    /// Those that have not announced that they leave.
    std::vector<standin::RunnerEmulator *> m_staying;
    standin::RunnerEmulator *m_silent = nullptr;
    MonotonicTime m_nextSend;
    MonotonicTime m_nextFault;
    int m_count = 0;
    std::vector<Call> m_calls;
};

} // namespace cranberry::soak
