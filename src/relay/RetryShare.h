// Defines RetryShare, this daemon's part of the retries that the fleet may make.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

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
/// on what is left. Each daemon counts its own requests and takes an equal part of the slack, so
/// that no message is needed and the sum over all daemons keeps the bound.
/// Thread safety: none; one event loop.
class RetryShare
{
public:
    explicit RetryShare(RetryLimits limits)
        : m_limits(limits)
    {
    }

    /// Daemons that share the slack. Precondition: positive.
    void setDaemons(int daemons) { m_daemons = daemons; }

    void countRequest(const ServiceId &service, MonotonicTime now);
    /// Takes one retry if there is one left after keeping back the part @p reserve (0 to 1).
    bool take(const ServiceId &service, MonotonicTime now, double reserve);

private:
    struct Window {
        QList<MonotonicTime> requests;
        QList<MonotonicTime> retries;
    };

    void forgetOld(Window &window, MonotonicTime now) const;

    RetryLimits m_limits;
    int m_daemons = 1;
    QHash<ServiceId, Window> m_windows;
};

} // namespace cranberry
