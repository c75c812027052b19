// Defines RetryChecks, which counts the repeats that the targets of a service receive.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QSet>

#include <vector>

namespace cranberry {
struct HttpRequest;
struct HttpResponse;
} // namespace cranberry

namespace cranberry::standin {

/// The answer of a target that refuses @p request and does not run it. Thread-safe.
HttpResponse refusalAnswer(const HttpRequest &request);

/// The id that the caller gave @p request. Thread-safe.
QByteArray requestIdOf(const HttpRequest &request);

/// The most repeats in one window compared with what is allowed there.
struct RetryWindow {
    int repeats = 0;
    int allowed = 0;
};

/// Applies the users' rule on retries to one service: in any 10 s, arrivals beyond the first of
/// each request are at most a fifth of the requests that callers sent, and 50. The requests are
/// those of that window, of the one before it, or of the one half a window before it, whichever has
/// most.
/// Thread safety: none; one event loop.
class RetryChecks
{
public:
    /// A caller sends a request for the service. Precondition: times do not decrease.
    void sent(MonotonicTime now) { m_sent.push_back(now); }
    /// A target of the service receives the request @p id. Precondition: times do not decrease.
    void received(const QByteArray &id, MonotonicTime now);
    /// As above, for a request of a caller that a daemon passes on; others do not count.
    void received(const HttpRequest &request, MonotonicTime now);

    /// The window with the largest excess.
    RetryWindow worstWindow() const;
    /// Repeats in all windows.
    int repeats() const { return int(m_repeats.size()); }

private:
    int sentFrom(MonotonicTime begin) const;

    QSet<QByteArray> m_received;
    std::vector<MonotonicTime> m_sent;
    std::vector<MonotonicTime> m_repeats;
};

} // namespace cranberry::standin
