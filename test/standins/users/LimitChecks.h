// Defines LimitChecks, which counts the requests that targets receive beyond their rate limits.
#pragma once

#include "base/Units.h"
#include "http/HttpHeaders.h"
#include "http/HttpRequest.h"

#include <QByteArray>
#include <QStringList>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cranberry::standin {

/// Applies the users' rule on rate limits: from 3 s after a target first named its limit, it gets
/// in any 4 s at most one and a half times what the limit allows, and 5 requests more, from the
/// daemons that had passed on an answer that names it half a second before. A daemon does not count
/// for 3 s after it was disturbed.
/// Thread safety: none; one event loop.
class LimitChecks
{
public:
    /// @p target names @p perSecond in its answers from @p now on; none if unset.
    void named(const QByteArray &target, std::optional<double> perSecond, MonotonicTime now);
    /// A caller sends the request @p id to @p daemon.
    void sent(const QByteArray &id, int daemon);
    /// @p daemon passed on the answer @p headers of a target, which may name a limit.
    void passedOn(const HttpHeaders &headers, int daemon, MonotonicTime now);
    /// @p daemon was stopped, started, paused or continued.
    void disturbed(int daemon, MonotonicTime now);
    /// @p target received @p request.
    void received(const QByteArray &target, const HttpRequest &request, MonotonicTime now);

    /// Requests that count at @p target since it last named a limit.
    int counted(const QByteArray &target) const;
    /// The most of them in any window.
    int mostInWindow(const QByteArray &target) const;
    /// Requests that a limit of @p perSecond allows in a window.
    static int allowedInWindow(double perSecond);
    /// One line for each window in which a target received too much.
    const QStringList &broken() const { return m_broken; }

private:
    struct Target {
        std::optional<double> perSecond;
        MonotonicTime namedAt;
        std::map<int, MonotonicTime> passedOnAt;
        std::vector<MonotonicTime> arrivals;
        int mostInWindow = 0;
    };

    std::map<QByteArray, Target> m_targets;
    std::map<QByteArray, int> m_daemonOfRequest;
    std::map<int, MonotonicTime> m_disturbedAt;
    QStringList m_broken;
};

} // namespace cranberry::standin
