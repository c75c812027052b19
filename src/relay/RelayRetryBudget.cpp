#include "relay/RelayRetryBudget.h"

namespace cranberry {

namespace {

/// Fraction of the limit that is used. The windows of daemons and targets are not aligned, and
/// counts from peers are up to 1.5 s old.
constexpr double UsedFraction = 0.75;
/// Counts from a peer expire after three missed updates.
constexpr Milliseconds PeerCountsLifetime{5000};

void dropBefore(QList<MonotonicTime> &times, MonotonicTime limit)
{
    qsizetype old = 0;
    while (old < times.size() && times.at(old) < limit)
        ++old;
    times.remove(0, old);
}

} // namespace

void RelayRetryBudget::removeExpired(Window &window, MonotonicTime now) const
{
    dropBefore(window.requests, now - m_limits.window);
    dropBefore(window.retries, now - m_limits.window);
}

void RelayRetryBudget::setPeerCounts(const VmId &peer, const ServiceId &service,
                                     const RetryCounts &counts)
{
    m_windows[service].peers.insert(peer, counts);
}

void RelayRetryBudget::countRequest(const ServiceId &service, MonotonicTime now)
{
    Window &window = m_windows[service];
    removeExpired(window, now);
    window.requests.append(now);
}

bool RelayRetryBudget::take(const ServiceId &service, MonotonicTime now, double reserve)
{
    Window &window = m_windows[service];
    removeExpired(window, now);
    double requests = double(window.requests.size());
    double retries = double(window.retries.size()) + 1;
    int daemons = 1;
    for (const RetryCounts &peer : std::as_const(window.peers)) {
        if (now - peer.receivedAt > PeerCountsLifetime)
            continue;
        requests += peer.requests;
        retries += peer.retries;
        ++daemons;
    }
    const double slack = m_limits.slack * std::min(1.0, double(daemons) / m_daemons);
    const double bound = UsedFraction * (m_limits.ratio * requests + slack);
    if (retries > bound * (1 - reserve))
        return false;
    window.retries.append(now);
    return true;
}

QHash<ServiceId, RetryCounts> RelayRetryBudget::ownCounts(MonotonicTime now)
{
    QHash<ServiceId, RetryCounts> counts;
    for (auto window = m_windows.begin(); window != m_windows.end(); ++window) {
        removeExpired(*window, now);
        if (!window->requests.isEmpty() || !window->retries.isEmpty())
            counts.insert(window.key(),
                          {int(window->requests.size()), int(window->retries.size()), now});
    }
    return counts;
}

} // namespace cranberry
