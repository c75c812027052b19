// Defines OverlapChecks, which finds generations that run at two targets at a time.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QStringList>

#include <map>

namespace cranberry::standin {

/// Applies the users' rule that a target must not work on a generation for longer than 400 ms after
/// it continued at another one. Excused are daemons that were disturbed in the 3 s before that.
/// Thread safety: none; one event loop.
class OverlapChecks
{
public:
    /// A caller sends the request @p id to @p daemon.
    void sent(const QByteArray &id, int daemon) { m_daemons[id] = daemon; }
    /// @p daemon was stopped, started, paused or continued.
    void disturbed(int daemon, MonotonicTime now) { m_disturbed.emplace(daemon, now); }
    /// @p target made an event of the generation @p id, which it began or continued.
    void worked(const QByteArray &target, const QByteArray &id, bool isContinued,
                MonotonicTime now);

    /// Generations that continued at another target.
    int continued() const;
    /// One line for each generation that ran at two targets for too long.
    QStringList broken() const;

private:
    struct Stay {
        bool isContinued = false;
        MonotonicTime from;
        MonotonicTime to;
    };
    /// By target.
    using Stays = std::map<QByteArray, Stay>;

    bool isExcused(const QByteArray &id, MonotonicTime continuedAt) const;

    std::map<QByteArray, int> m_daemons;
    std::multimap<int, MonotonicTime> m_disturbed;
    std::map<QByteArray, Stays> m_stays;
};

} // namespace cranberry::standin
