#include "relay/RetryShare.h"

namespace cranberry {

namespace {

/// Part of the bound that is used: windows of daemons and targets do not begin alike.
constexpr double UsedPart = 0.8;

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
    const double bound = UsedPart
        * (m_limits.ratio * double(window.requests.size()) + m_limits.slack / m_daemons);
    if (double(window.retries.size()) + 1 > bound * (1 - reserve))
        return false;
    window.retries.append(now);
    return true;
}

} // namespace cranberry
