// Defines RetryShare, which bounds the retries of the whole fleet.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/RetryCounts.h"

#include <QHash>
#include <QList>

namespace cranberry {

/// Bounds of the whole fleet, over any window of that length and for each service.
struct RetryLimits {
    /// Retries for each request.
    double ratio = 0.2;
    /// Retries beside these.
    double slack = 50;
    Milliseconds window{10000};
};

/// Guards against retry storms: a fault that fails every request would otherwise double the load
/// on what is left. Daemons that hear each other share what their requests allow, and the part of
/// the slack that falls to them by number: retries come in clumps, as when an engine leaves with
/// the streams of one daemon, and a fixed part for each daemon would leave
/// many of these without one.
/// Thread safety: none; one event loop.
class RetryShare
{
public:
    explicit RetryShare(RetryLimits limits)
        : m_limits(limits)
    {
    }

    /// Daemons of the fleet, this one included. Precondition: positive.
    void setDaemons(int daemons) { m_daemons = daemons; }
    /// What another daemon counted for @p service.
    void heard(const VmId &peer, const ServiceId &service, const RetryCounts &counts);

    void countRequest(const ServiceId &service, MonotonicTime now);
    /// Takes one retry if there is one left after keeping back the part @p reserve (0 to 1).
    bool take(const ServiceId &service, MonotonicTime now, double reserve);
    /// What this daemon counted in the window that ends now, for each service.
    QHash<ServiceId, RetryCounts> ownCounts(MonotonicTime now);

private:
    struct Window {
        QList<MonotonicTime> requests;
        QList<MonotonicTime> retries;
        QHash<VmId, RetryCounts> peers;
    };

    void forgetOld(Window &window, MonotonicTime now) const;

    RetryLimits m_limits;
    int m_daemons = 1;
    QHash<ServiceId, Window> m_windows;
};

} // namespace cranberry
