#pragma once

#include "base/QtTimerService.h"
#include "standins/users/BusyTargets.h"
#include "support/PlatformSite.h"

#include <QHash>
#include <QStringList>

#include <random>
#include <vector>

namespace cranberry::soak {

/// Callers of two priorities, and of a large and several small workspaces, that compete for targets
/// of uneven speed in some phases of a run, and the checks of what they get.
/// Thread safety: only from the thread of the event loop.
class CompetingLoad
{
public:
    /// Precondition: @p site outlives the object and has its service for competing callers.
    CompetingLoad(test::PlatformSite &site, quint32 seed, int daemons);

    /// Sends what is due and collects answers. @p paused: daemons that are stopped.
    void step(const std::vector<bool> &paused);
    /// @p daemon was signalled or replaced; its answers may be late.
    void disturbed(int daemon) { m_disturbedAt[std::size_t(daemon)] = m_timers.now(); }
    /// Sends nothing more.
    void stop() { m_next.assign(m_next.size(), MonotonicTime::max()); }
    bool isOver() const { return m_calls.empty(); }

    /// A line for each violation. Precondition: all calls are over.
    QStringList broken() const;
    int callers() const { return int(m_outcomes.size()); }
    int answered() const;
    int rejected() const;

private:
    struct Call {
        QByteArray id;
        std::size_t group = 0;
        int daemon = 0;
        MonotonicTime sentAt;
        std::shared_ptr<test::ClientCall> call;
    };
    struct Outcome {
        std::size_t group = 0;
        int runs = 0;
        int status = 0;
    };

    std::chrono::microseconds gap(std::size_t group);
    bool isCompeting() const;
    void send(std::size_t group);
    void evaluate(const Call &call, bool isPaused);

    test::PlatformSite &m_site;
    std::mt19937 m_random;
    QtTimerService m_timers;
    standin::BusyTargets m_targets;
    MonotonicTime m_begin;
    int m_count = 0;
    const QByteArray m_prefix;
    std::vector<MonotonicTime> m_next;
    std::vector<MonotonicTime> m_disturbedAt;
    std::vector<Call> m_calls;
    QHash<QByteArray, Outcome> m_outcomes;
    QStringList m_late;
};

} // namespace cranberry::soak
