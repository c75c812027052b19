#include "relay/RetryShare.h"

namespace cranberry {

namespace {

/// Part of the bound that is used: windows of daemons and targets do not begin alike, and what
/// the others count is up to 1.5 s old.
constexpr double UsedPart = 0.75;
/// What a peer counted is forgotten when it has not repeated it three times.
constexpr Milliseconds PeerCountsHold{5000};

void dropBefore(QList<MonotonicTime> &times, MonotonicTime limit)
{
    qsizetype old = 0;
    while (old < times.size() && times.at(old) < limit)
        ++old;
    times.remove(0, old);
}

} // namespace

void RetryShare::forgetOld(Window &window, MonotonicTime now) const
{
    dropBefore(window.requests, now - m_limits.window);
    dropBefore(window.retries, now - m_limits.window);
}

void RetryShare::heard(const VmId &peer, const ServiceId &service, const RetryCounts &counts)
{
    m_windows[service].peers.insert(peer, counts);
}

void RetryShare::countRequest(const ServiceId &service, MonotonicTime now)
{
    Window &window = m_windows[service];
    forgetOld(window, now);
    window.requests.append(now);
}

bool RetryShare::take(const ServiceId &service, MonotonicTime now, double reserve)
{
    Window &window = m_windows[service];
    forgetOld(window, now);
    double requests = double(window.requests.size());
    double retries = double(window.retries.size()) + 1;
    int daemons = 1;
    for (const RetryCounts &peer : std::as_const(window.peers)) {
        if (now - peer.heard > PeerCountsHold)
            continue;
        requests += peer.requests;
        retries += peer.retries;
        ++daemons;
    }
    const double slack = m_limits.slack * std::min(1.0, double(daemons) / m_daemons);
    const double bound = UsedPart * (m_limits.ratio * requests + slack);
    if (retries > bound * (1 - reserve))
        return false;
    window.retries.append(now);
    return true;
}

QHash<ServiceId, RetryCounts> RetryShare::ownCounts(MonotonicTime now)
{
    QHash<ServiceId, RetryCounts> counts;
    for (auto window = m_windows.begin(); window != m_windows.end(); ++window) {
        forgetOld(*window, now);
        if (!window->requests.isEmpty() || !window->retries.isEmpty())
            counts.insert(window.key(),
                          {int(window->requests.size()), int(window->retries.size()), now});
    }
    return counts;
}

} // namespace cranberry
