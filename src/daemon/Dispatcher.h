#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Units.h"
#include "delivery/TargetSource.h"
#include "quarantine/RequestFingerprint.h"

#include <QHash>

#include <functional>
#include <memory>

namespace cranberry {

class AdmissionQueue;
class PlacementRouter;
class Quarantine;
class TargetTable;
class TimerService;
class TimerSubscription;
struct Configuration;

/// Implements TargetSource on quarantine, admission and the target table: resolves a chosen
/// target to its endpoint, and reports the outcome of each attempt to the three of them.
/// Thread safety: only from the thread of the event loop.
class Dispatcher final : public TargetSource
{
public:
    /// Precondition: each object outlives the dispatcher.
    struct Dependencies {
        TimerService &timers;
        TargetTable &targets;
        AdmissionQueue &admission;
        PlacementRouter &router;
        Quarantine &quarantine;
    };

    Dispatcher(const Dependencies &dependencies, DataCentreId dataCentre);
    ~Dispatcher() override;

    /// Uses @p configuration for all later placements. Precondition: not null; called before the
    /// first acquire().
    void setConfiguration(const std::shared_ptr<const Configuration> &configuration);

    /// Sets the callback that runs when a target refuses an attempt because it is shutting down,
    /// at most once per incarnation. It does not run for targets of plain services, which report
    /// no incarnation.
    void onTargetLeaving(std::function<void(const TargetId &, Incarnation)> callback)
    {
        m_leavingCallback = std::move(callback);
    }

    void acquire(const TargetDemand &demand, Callback callback) override;
    void withdraw(const RequestId &request) override;
    void tokenReceived(const AttemptId &attempt) override;
    void attemptEnded(const AttemptId &attempt, const TargetId &target,
                      AttemptOutcome outcome) override;
    void requestEnded(const RequestId &request) override;
    bool takeRetry(const WorkspaceId &workspace, const TargetId &target) override;

private:
    struct PendingAcquire;
    using PendingAcquirePtr = std::shared_ptr<PendingAcquire>;

    void requestPlacement(const PendingAcquirePtr &pending);
    void placeOnProbation(const PendingAcquirePtr &pending);
    void handlePlacement(const PendingAcquirePtr &pending, const Result<TargetId> &target);
    void completeAcquire(const PendingAcquirePtr &pending, const TargetId &target);
    void failAcquire(const PendingAcquirePtr &pending, const Error &error);
    void scheduleRetry(const PendingAcquirePtr &pending);
    void handleTargetLost(const TargetId &target);
    void handleTargetLeaving(const TargetId &target);
    bool isPlainTarget(const TargetId &target) const;
    void reinstateAfter(const TargetId &target, Milliseconds delay);

    Dependencies m_dependencies;
    const DataCentreId m_dataCentre;
    std::shared_ptr<const Configuration> m_configuration;
    std::function<void(const TargetId &, Incarnation)> m_leavingCallback;
    QHash<RequestId, PendingAcquirePtr> m_pendingAcquires;
    /// Fingerprints of the attempts in progress.
    QHash<AttemptId, RequestFingerprint> m_attemptFingerprints;
    /// Timers that return targets of plain services to use. These targets report no load, so
    /// without a timer a target that was marked dead would stay out of use.
    QHash<TargetId, std::shared_ptr<TimerSubscription>> m_reinstateTimers;
};

} // namespace cranberry
