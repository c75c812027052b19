#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <functional>
#include <map>
#include <memory>

namespace cranberry {

class HttpClient;
class HttpExchange;
class TargetTable;
class TimerService;
class TimerSubscription;
struct Configuration;

/// Polls the load of each model target, with at most one call to a target at a time, and passes the
/// reports to the target table. After several consecutive failed calls it marks the target dead
/// until a call succeeds.
/// Thread safety: only from the thread of the event loop.
class TargetPoller
{
public:
    /// Called after each report and after a target is marked dead.
    using ChangedCallback = std::function<void()>;

    /// Precondition: the references outlive the poller.
    TargetPoller(TimerService &timers, HttpClient &client, TargetTable &table,
                 Milliseconds interval, ChangedCallback changed);
    ~TargetPoller();
    TargetPoller(const TargetPoller &) = delete;
    TargetPoller &operator=(const TargetPoller &) = delete;

    /// @p callback is called once for each incarnation of a target that reports that it is leaving.
    void onLeaving(std::function<void(const TargetId &, Incarnation)> callback)
    {
        m_leavingCallback = std::move(callback);
    }

    /// Replaces the polled targets by the model targets of @p configuration and polls at once.
    void setConfiguration(const Configuration &configuration);

private:
    struct PolledTarget {
        HttpEndpoint endpoint;
        std::unique_ptr<HttpExchange> exchange;
        int consecutiveFailures = 0;
    };

    void pollAll();
    void poll(const TargetId &target, PolledTarget &polled);
    void handleResponse(const TargetId &target, bool isComplete, int status,
                        const QByteArray &body);
    void notifyLeaving(const TargetId &target, Incarnation incarnation);
    void handleFailure(const TargetId &target, PolledTarget &polled);

    TimerService &m_timers;
    HttpClient &m_client;
    TargetTable &m_table;
    Milliseconds m_interval;
    ChangedCallback m_changedCallback;
    std::function<void(const TargetId &, Incarnation)> m_leavingCallback;
    std::map<TargetId, PolledTarget> m_polledTargets;
    std::unique_ptr<TimerSubscription> m_pollTimer;
};

} // namespace cranberry
