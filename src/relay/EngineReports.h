// Defines EngineReports, which asks engines for their load when a request needs it.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>
#include <QList>

#include <functional>
#include <memory>

namespace cranberry {

class HttpClient;
class HttpExchange;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct RelayCounters;
struct TargetProtocol;

/// Asks only for the few targets that a request may go to: the number of questions grows with
/// the requests, not with daemons times targets.
/// Thread safety: only from the thread of the event loop.
class EngineReports
{
public:
    using Done = std::function<void()>;

    /// Precondition: everything passed outlives the object.
    EngineReports(TimerService &timers, HttpClient &client, TargetDirectory &targets,
                  const TargetProtocol &protocol, RelayCounters &counters);
    ~EngineReports();

    /// Calls @p done, later or at once, when each of @p targets has a report no older than
    /// @p freshFor or none came in time.
    void refresh(const QList<TargetId> &targets, Milliseconds freshFor, Done done);

private:
    struct Question;
    struct Waiter;

    bool isFresh(const TargetId &target, Milliseconds freshFor) const;
    void ask(const TargetId &target);
    void answered(const TargetId &target);

    TimerService &m_timers;
    HttpClient &m_client;
    TargetDirectory &m_targets;
    const TargetProtocol &m_protocol;
    RelayCounters &m_counters;
    QHash<TargetId, std::shared_ptr<Question>> m_questions;
};

} // namespace cranberry
