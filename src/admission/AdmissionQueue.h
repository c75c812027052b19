// Defines AdmissionQueue, through which every request passes on its way to a target.
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

/// Places a request at once, lets it wait its fair turn in a bounded queue, or refuses it the
/// moment it is known that it cannot be served in time. Every refusal says `ran: no`: nothing
/// was sent.
/// Thread safety: only from the thread of the timer service. Callbacks run in it, at times
/// inside the call that causes them, and may call any method.
class AdmissionQueue
{
public:
    /// The target to send to, or why not. Called exactly once unless cancel() comes first.
    using Callback = std::function<void(Result<TargetId>)>;
    using RandomSource = std::function<quint64()>;

    /// Precondition: @p timers and @p targets outlive the queue.
    AdmissionQueue(TimerService &timers, TargetTable &targets, RandomSource random);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /// Puts @p configuration in force, for waiting requests too. Does not touch the target
    /// table. Precondition: not null.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Asks for a target. If one is given, the send is already recorded in the target table
    /// under @p request.attempt. Unless a first attempt is refused, requestEnded() must follow.
    void enqueue(const AdmissionRequest &request, Callback callback);

    /// The three steps of enqueue(), for whoever decides between them where a request waits.
    /// Counts a first attempt under its workspace's limits; an Error refuses it.
    std::optional<Error> admit(const AdmissionRequest &request);
    /// A target if one has room and nobody waits for it. Precondition: admitted.
    std::optional<TargetId> tryNow(const AdmissionRequest &request);
    /// Lets @p request wait its turn, or refuses it. Precondition: admitted.
    void waitTurn(const AdmissionRequest &request, Callback callback);

    /// How long @p request must expect to wait here; 0 while too little is known.
    Milliseconds expectedWaitOf(const AdmissionRequest &request);

    /// When @p request must be sent at the latest to be answered before its deadline, as far as
    /// is known; a request waits no longer.
    MonotonicTime latestStart(const AdmissionRequest &request) const;

    /// The refusal of a request whose wait of @p expected is too long for its deadline.
    Error tooShort(const AdmissionRequest &request, Milliseconds expected) const;

    /// Records the send of @p request to @p target, which another daemon granted; @p ended is
    /// called when the attempt ends.
    void recordGranted(const AdmissionRequest &request, const TargetId &target,
                       const std::function<void()> &ended);

    /// Ends what was granted to another daemon for @p request; ignored if unknown.
    void grantEnded(const RequestId &request);

    /// Takes a waiting request out without a callback; ignored if it does not wait.
    void cancel(const RequestId &request);

    /// Counts one generated token of @p attempt, in the target table too, and charges it to
    /// the workspace's share.
    void tokenReceived(const AttemptId &attempt);

    /// Tells the target table that @p attempt ended, and serves who waits.
    void attemptEnded(const AttemptId &attempt, AttemptEnd end);

    /// Ends a request that was admitted, whatever its outcome: frees its place under the
    /// workspace's limit. Ignored if unknown.
    void requestEnded(const RequestId &request);

    /// Takes one retry from the budget of @p workspace and of @p target, which failed. False
    /// if either is spent: then the failure is final.
    bool takeRetry(const WorkspaceId &workspace, const TargetId &target);

    /// Serves who waits; to be called after load reports, and when targets come or go.
    void capacityChanged();

    /// Requests that wait, over all services.
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
    void countWaiting(Lane &lane, const WorkspaceId &workspace);
    std::optional<Error> refusal(const AdmissionRequest &request);
    void wait(const AdmissionRequest &request, Callback callback);
    bool makeRoom(const AdmissionRequest &request, int queueLimit);
    int waitingIn(const ServiceId &service) const;
    Placement tryPlace(const AdmissionRequest &request, bool preferredOnly);
    void placed(const AdmissionRequest &request, const Placement &placement, Lane &lane,
                Milliseconds waited);
    void serve(const LaneKey &key);
    bool serveOne(const LaneKey &key);
    bool serveFirstOf(const LaneKey &key, const QList<AdmissionRequest> &order, bool preferredOnly);
    void giveUpExpired();
    void finish(const RequestId &request, Result<TargetId> outcome);
    void armTimer();

    TimerService &m_timers;
    TargetTable &m_targets;
    RandomSource m_random;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<LaneKey, Lane> m_lanes;
    QHash<ServiceId, ServiceShares> m_shares;
    QHash<RequestId, Waiter> m_waiters;
    QHash<AttemptId, Charge> m_charges;
    /// What to call when a send ends that another daemon granted.
    QHash<AttemptId, std::function<void()>> m_granted;
    WorkspaceLimiter m_limiter;
    RetryBudget m_retries;
    std::unique_ptr<TimerSubscription> m_timer;
    bool m_serving = false;
    bool m_serveAgain = false;
};

} // namespace cranberry
