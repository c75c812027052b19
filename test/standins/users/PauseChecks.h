// Defines PauseChecks, which counts the requests that targets receive although they asked for none.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QStringList>

#include <map>
#include <vector>

namespace cranberry::standin {

/// Applies the users' rules on what targets say in their answers. From half a second after a target
/// answered a daemon 503 with Retry-After to the end of that time, it gets at most two requests of
/// that daemon. From 2 s after a daemon passed on an answer with Server-Leaving, the target gets no
/// request of it that a caller sends then. A daemon that was disturbed since is excused.
/// Thread safety: none; one event loop.
class PauseChecks
{
public:
    /// A caller sends the request @p id to @p daemon.
    void sent(const QByteArray &id, int daemon, MonotonicTime now);
    /// Another daemon than the one that the caller sent it to sends the request @p id to targets.
    void forwarded(const QByteArray &id, int daemon);
    /// @p daemon was stopped, started, paused or continued.
    void disturbed(int daemon, MonotonicTime now);
    /// @p target starts again under its id, or another takes its place.
    void restarted(const QByteArray &target, MonotonicTime now);
    /// @p target answered the request @p id with 503 and asked for a pause of @p duration.
    void paused(const QByteArray &target, const QByteArray &id, Milliseconds duration,
                MonotonicTime now);
    /// @p target said in its answer to the request @p id that it is leaving.
    void saidLeaving(const QByteArray &target, const QByteArray &id, MonotonicTime now);
    /// @p target received the request @p id.
    void received(const QByteArray &target, const QByteArray &id, MonotonicTime now);

    /// The daemon that sends the request @p id to targets; negative if it is not known.
    int daemonOf(const QByteArray &id) const;
    /// Pauses that targets asked for.
    int pauses() const { return int(m_pauses.size()); }
    /// The most requests that a target received in one of them.
    int mostInPause() const;
    /// Requests at targets that said that they are leaving.
    int afterLeaving() const;
    /// One line for each pause with more than two requests, and each request after leaving.
    QStringList broken() const;

private:
    struct Sent {
        int daemon = -1;
        MonotonicTime at;
    };
    struct Said {
        QByteArray target;
        QByteArray id;
        MonotonicTime at;
        MonotonicTime until;
        /// It no longer holds from this time on, as the target has started again.
        MonotonicTime endsAt = MonotonicTime::max();
    };
    struct Arrival {
        QByteArray target;
        QByteArray id;
        MonotonicTime at;
    };

    bool isDisturbed(int daemon, MonotonicTime since, MonotonicTime until) const;
    QList<QByteArray> requestsIn(const Said &pause) const;
    QList<QByteArray> requestsAfter(const Said &leaving) const;

    std::map<QByteArray, Sent> m_sent;
    std::multimap<int, MonotonicTime> m_disturbed;
    std::vector<Said> m_pauses;
    std::vector<Said> m_leaving;
    std::vector<Arrival> m_arrivals;
};

} // namespace cranberry::standin
