#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>
#include <QList>

#include <functional>
#include <memory>

namespace cranberry {

class HttpExchange;
class TargetClient;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct RelayCounters;
struct TargetProtocol;

/// Queries engines for their load when a request needs it, and only the few targets that the
/// request may go to: the number of queries grows with the requests, not with daemons times
/// targets.
/// Thread safety: only from the thread of the event loop.
class EngineReports
{
public:
    using Done = std::function<void()>;

    /// Precondition: everything passed outlives the object.
    EngineReports(TimerService &timers, TargetClient &client, TargetDirectory &targets,
                  const TargetProtocol &protocol, RelayCounters &counters);
    ~EngineReports();

    /// Calls @p done, immediately or later, when for each of @p targets there is a report no older
    /// than @p maxAge, or the query has failed, or the target takes none now.
    void refresh(const QList<TargetId> &targets, Milliseconds maxAge, Done done);

private:
    struct Query;
    struct Waiter;

    bool isFresh(const TargetId &target, Milliseconds maxAge) const;
    /// Returns false if the target takes no such call now.
    bool sendQuery(const TargetId &target);
    void finishQuery(const TargetId &target);

    TimerService &m_timers;
    TargetClient &m_client;
    TargetDirectory &m_targets;
    const TargetProtocol &m_protocol;
    RelayCounters &m_counters;
    QHash<TargetId, std::shared_ptr<Query>> m_queries;
};

} // namespace cranberry
