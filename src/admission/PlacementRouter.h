// Defines PlacementRouter, which brings each request to the daemon that gives out the target.
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

/// Several daemons that decide on one target by lagging reports all fill the same gap. So each
/// target's room is given out by one daemon, its home; a request goes to the home whose target
/// looks best, then to one other, then waits where the wait is shorter. Homes follow from the
/// member view; where views differ, preemptions are the price.
/// Thread safety: only from the thread of the timer service. Callbacks as AdmissionQueue's.
class PlacementRouter
{
public:
    using Callback = std::function<void(Result<TargetId>)>;
    using RandomSource = std::function<quint64()>;

    /// Precondition: everything given outlives the router.
    PlacementRouter(TimerService &timers, TargetTable &targets, AdmissionQueue &queue,
                    CreditExchange &exchange, const MemberView &members, RandomSource random);
    ~PlacementRouter();
    PlacementRouter(const PlacementRouter &) = delete;
    PlacementRouter &operator=(const PlacementRouter &) = delete;

    /// As AdmissionQueue::setConfiguration, which it calls.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// As AdmissionQueue::enqueue; the target may be given out by another daemon.
    void enqueue(const AdmissionRequest &request, Callback callback);

    /// Takes a request that has no target yet out, wherever it waits; no callback follows.
    void cancel(const RequestId &request);

private:
    struct Route;

    bool hasHomes(const AdmissionRequest &request) const;
    void refreshMembers();
    void tick();
    void advance(const RequestId &request);
    void tryOwn(const RequestId &request);
    void tryOther(const RequestId &request, const VmId &home);
    void waitWhereShortest(const RequestId &request);
    void waitAtOther(const RequestId &request, const VmId &home, Milliseconds expected);
    void startAnew(const RequestId &request);
    void granted(const RequestId &request, const VmId &home, const TargetId &target);
    void finish(const RequestId &request, Result<TargetId> outcome);

    TimerService &m_timers;
    TargetTable &m_targets;
    AdmissionQueue &m_queue;
    CreditExchange &m_exchange;
    const MemberView &m_members;
    RandomSource m_random;
    std::shared_ptr<const Configuration> m_configuration;
    VmId m_self;
    QList<VmId> m_live;
    QHash<RequestId, std::shared_ptr<Route>> m_routes;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
