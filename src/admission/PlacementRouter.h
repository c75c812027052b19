#pragma once

#include "admission/AdmissionRequest.h"
#include "admission/CreditMessages.h"
#include "base/Result.h"
#include "base/TimerService.h"
#include "configuration/Configuration.h"

#include <QHash>
#include <QList>

#include <functional>
#include <memory>

namespace cranberry {

class AdmissionQueue;
class CreditExchange;
class MemberView;
class TargetTable;

/// Routes each request to the home daemon of a suitable target. If several daemons placed requests
/// on one target by delayed load reports, all would fill the same free capacity. Each target's
/// capacity is therefore granted by one daemon, its home. A request is sent to the home of the
/// target with the best score, then to one other home, and then waits in the queue with the shorter
/// expected wait. Homes are derived from the member view; if the views of two daemons differ,
/// targets may preempt requests.
/// Thread safety: only from the thread of the timer service. Callbacks run as those of
/// AdmissionQueue.
class PlacementRouter
{
public:
    using Callback = std::function<void(Result<TargetId>)>;
    using RandomSource = std::function<quint64()>;

    /// Precondition: all arguments outlive the router.
    PlacementRouter(TimerService &timers, TargetTable &targets, AdmissionQueue &queue,
                    CreditExchange &exchange, const MemberView &members, RandomSource random);
    ~PlacementRouter();
    PlacementRouter(const PlacementRouter &) = delete;
    PlacementRouter &operator=(const PlacementRouter &) = delete;

    /// As AdmissionQueue::setConfiguration(), which it calls.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// As AdmissionQueue::enqueue(), but another daemon may grant the target.
    void enqueue(const AdmissionRequest &request, Callback callback);

    /// Removes a request that has no target yet, wherever it waits. Its callback is not called.
    void cancel(const RequestId &request);

private:
    struct Route;

    bool hasHomeDaemons(const AdmissionRequest &request) const;
    void refreshMembers();
    void handleTick();
    void advance(const RequestId &request);
    void tryLocalHome(const RequestId &request);
    void tryRemoteHome(const RequestId &request, const VmId &home);
    void waitAtShortestQueue(const RequestId &request);
    void waitAtRemoteHome(const RequestId &request, const VmId &home, Milliseconds expected);
    void restartRoute(const RequestId &request);
    void handleGrant(const RequestId &request, const VmId &home, const TargetId &target);
    void completeRoute(const RequestId &request, Result<TargetId> outcome);

    TimerService &m_timers;
    TargetTable &m_targets;
    AdmissionQueue &m_queue;
    CreditExchange &m_exchange;
    const MemberView &m_members;
    RandomSource m_random;
    std::shared_ptr<const Configuration> m_configuration;
    VmId m_self;
    QList<VmId> m_liveVms;
    QHash<RequestId, std::shared_ptr<Route>> m_routes;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
