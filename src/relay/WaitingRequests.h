#pragma once

#include "admission/FleetDemand.h"
#include "base/Ids.h"
#include "base/Units.h"

#include <QList>
#include <QSet>

#include <memory>

namespace cranberry {

class FleetAdmission;
class RelayRun;
class TimerService;
class TimerSubscription;

/// The queue of requests that no target can take yet. Whenever room may be available, tries the
/// requests in the order of isMoreUrgent(), or of isServedBefore() if admission control keeps no
/// order, and rejects those that cannot be served in time any longer.
/// Thread safety: only from the thread of the event loop.
class WaitingRequests
{
public:
    /// Precondition: everything passed outlives the object.
    WaitingRequests(TimerService &timers, FleetAdmission &admission);
    ~WaitingRequests();

    /// Adds a run and tries it until it no longer waits.
    void add(const std::shared_ptr<RelayRun> &run);
    /// Schedules a pass over all waiting requests.
    void roomChanged();
    int size() const { return int(m_waiting.size()); }
    /// The work of waiting requests for @p service that goes before a request of @p urgency.
    Work workAhead(const ServiceId &service, const Urgency &urgency) const;

private:
    /// @p checksEstimates: also rejects requests that are not expected to get room in time. That
    /// takes time in proportion to the promises and the reports of other daemons for each request.
    void tryAll(bool checksEstimates);
    void notifyAdmission(const QSet<ServiceId> &services);

    TimerService &m_timers;
    FleetAdmission &m_admission;
    QList<std::weak_ptr<RelayRun>> m_waiting;
    std::unique_ptr<TimerSubscription> m_passTimer;
    std::unique_ptr<TimerSubscription> m_checkTimer;
};

} // namespace cranberry
