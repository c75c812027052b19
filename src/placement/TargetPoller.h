// Defines TargetPoller, which asks targets for their load.
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

/// Asks each model target for its load, one call at a time, and tells the target table; after
/// several calls in a row without an answer the target counts as dead until it answers.
/// Thread safety: only from the thread of the event loop.
class TargetPoller
{
public:
    /// Told after each report and after a target was taken for dead.
    using ChangedCallback = std::function<void()>;

    /// Precondition: the references outlive the poller.
    TargetPoller(TimerService &timers, HttpClient &client, TargetTable &table,
                 Milliseconds interval, ChangedCallback changed);
    ~TargetPoller();
    TargetPoller(const TargetPoller &) = delete;
    TargetPoller &operator=(const TargetPoller &) = delete;

    /// @p callback is told once for each incarnation of a target that reports that it leaves.
    void onLeaving(std::function<void(const TargetId &, Incarnation)> callback)
    {
        m_leaving = std::move(callback);
    }

    /// Polls the model targets of @p configuration from now on.
    void setConfiguration(const Configuration &configuration);

private:
    struct Polled {
        HttpEndpoint endpoint;
        std::unique_ptr<HttpExchange> exchange;
        int misses = 0;
    };

    void pollAll();
    void poll(const TargetId &target, Polled &polled);
    void answered(const TargetId &target, bool whole, int status, const QByteArray &body);
    void targetLeaves(const TargetId &target, Incarnation incarnation);
    void missed(const TargetId &target, Polled &polled);

    TimerService &m_timers;
    HttpClient &m_client;
    TargetTable &m_table;
    Milliseconds m_interval;
    ChangedCallback m_changed;
    std::function<void(const TargetId &, Incarnation)> m_leaving;
    std::map<TargetId, Polled> m_polled;
    std::unique_ptr<TimerSubscription> m_ticks;
};

} // namespace cranberry
