#pragma once

#include "admission/AdmissionRequest.h"
#include "admission/RetryBudget.h"
#include "admission/ServiceShares.h"
#include "admission/WaitEstimate.h"
#include "admission/WaitingLane.h"
#include "admission/WorkspaceLimiter.h"
#include "base/Result.h"
#include "base/TimerService.h"
#include "configuration/Configuration.h"
#include "placement/AttemptEnd.h"
#include "placement/Placement.h"

#include <QHash>
#include <QSet>

#include <functional>
#include <map>
#include <memory>

namespace cranberry {

class TargetTable;

/// Places a request immediately, queues it under fair sharing in a bounded queue, or refuses it as
/// soon as it is known that it cannot be answered before its deadline. Every refusal says `ran:
/// no`, since nothing was sent.
/// Thread safety: only from the thread of the timer service. Callbacks run in that thread, possibly
/// inside the call that causes them, and may call any method.
class AdmissionQueue
{
public:
    /// Receives the target to send to, or the refusal. Called exactly once unless cancel() is
    /// called first.
    using Callback = std::function<void(Result<TargetId>)>;
    using RandomSource = std::function<quint64()>;

    /// Precondition: @p timers and @p targets outlive the queue.
    AdmissionQueue(TimerService &timers, TargetTable &targets, RandomSource random);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /// Applies @p configuration, also to waiting requests. Does not change the target table.
    /// Precondition: not null.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Requests a target. If one is returned, the send is already recorded in the target table
    /// under @p request.attempt. Unless a first attempt is refused, requestEnded() must follow.
    void enqueue(const AdmissionRequest &request, Callback callback);

    /// The three steps of enqueue(), for a caller that chooses the queue in which a request waits.
    /// Counts a first attempt against the limits of its workspace. Returns the error if it is
    /// refused.
    std::optional<Error> admit(const AdmissionRequest &request);
    /// Returns a target if one has capacity and no request is waiting. Precondition: admitted.
    std::optional<TargetId> placeImmediately(const AdmissionRequest &request);
    /// Queues @p request, or refuses it through @p callback. Precondition: admitted.
    void waitOrRefuse(const AdmissionRequest &request, Callback callback);

    /// The expected wait of @p request in this daemon; 0 until enough placements have been seen.
    Milliseconds expectedWaitOf(const AdmissionRequest &request);

    /// The latest time at which @p request can be sent and still be expected to finish before its
    /// deadline. A request does not wait longer.
    MonotonicTime latestStart(const AdmissionRequest &request) const;

    /// Logs and returns the refusal of a request whose expected wait @p expected exceeds its
    /// deadline.
    Error deadlineTooShortError(const AdmissionRequest &request, Milliseconds expected) const;

    /// Records the send of @p request to @p target, which another daemon granted. @p ended is
    /// called when the attempt ends.
    void recordGrantedAttempt(const AdmissionRequest &request, const TargetId &target,
                              const std::function<void()> &ended);

    /// Ends the grant made to another daemon for @p request; ignored if unknown.
    void grantEnded(const RequestId &request);

    /// Removes a waiting request without calling its callback; ignored if it is not waiting.
    void cancel(const RequestId &request);

    /// Counts one generated token of @p attempt, also in the target table, and charges it to the
    /// share of the workspace.
    void tokenReceived(const AttemptId &attempt);

    /// Records the end of @p attempt in the target table and tries to place waiting requests.
    void attemptEnded(const AttemptId &attempt, AttemptEnd end);

    /// Ends an admitted request, whatever its outcome, and releases its slot in the workspace's
    /// limit. Ignored if unknown.
    void requestEnded(const RequestId &request);

    /// Takes one retry from the budgets of @p workspace and of @p target, the target that failed.
    /// Returns false if either budget is exhausted; the failure is then final.
    bool takeRetry(const WorkspaceId &workspace, const TargetId &target);

    /// Tries to place waiting requests. To be called after load reports and when targets are added
    /// or removed.
    void capacityChanged();

    /// Number of waiting requests of all services.
    int waiting() const;

private:
    struct Waiter;
    struct Charge;
    struct Lane;

    struct LaneKey {
        ServiceId service;
        ModelId model;
        friend bool operator<(const LaneKey &a, const LaneKey &b)
        {
            return a.service == b.service ? a.model < b.model : a.service < b.service;
        }
    };

    const ServiceConfiguration *service(const ServiceId &id) const;
    double weight(const WorkspaceId &workspace) const;
    Lane &laneOf(const AdmissionRequest &request);
    void updateWaitEstimates(Lane &lane, const WorkspaceId &workspace);
    std::optional<Error> refusal(const AdmissionRequest &request);
    void addWaiter(const AdmissionRequest &request, Callback callback);
    bool evictForRequest(const AdmissionRequest &request, int queueLimit);
    int waitingIn(const ServiceId &service) const;
    Placement tryPlace(const AdmissionRequest &request, bool preferredOnly);
    void commitPlacement(const AdmissionRequest &request, const Placement &placement, Lane &lane,
                         Milliseconds waited);
    void serveLane(const LaneKey &key);
    bool serveNext(const LaneKey &key);
    bool servePlaceable(const LaneKey &key, const QList<AdmissionRequest> &order,
                        bool preferredOnly);
    void refuseExpired();
    void completeWaiter(const RequestId &request, Result<TargetId> outcome);
    void armTimer();

    TimerService &m_timers;
    TargetTable &m_targets;
    RandomSource m_random;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<LaneKey, Lane> m_lanes;
    QHash<ServiceId, ServiceShares> m_shares;
    QHash<RequestId, Waiter> m_waiters;
    QHash<AttemptId, Charge> m_charges;
    /// Callbacks for the ends of attempts that another daemon granted.
    QHash<AttemptId, std::function<void()>> m_grantEndCallbacks;
    WorkspaceLimiter m_limiter;
    RetryBudget m_retries;
    std::unique_ptr<TimerSubscription> m_timer;
    bool m_serving = false;
    bool m_serveRequested = false;
};

} // namespace cranberry
