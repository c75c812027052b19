// Defines Dispatcher, which joins quarantine, admission and the target table for delivery.
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

/// Turns the target that was chosen into a place to send to, and what became of the send
/// into news for the tables.
/// Thread safety: only from the thread of the event loop.
class Dispatcher final : public TargetSource
{
public:
    /// All of them outlive the dispatcher.
    struct Surroundings {
        TimerService &timers;
        TargetTable &targets;
        AdmissionQueue &admission;
        PlacementRouter &router;
        Quarantine &quarantine;
    };

    Dispatcher(const Surroundings &surroundings, DataCentreId dataCentre);
    ~Dispatcher() override;

    /// New decisions are made under @p configuration.
    void setConfiguration(const std::shared_ptr<const Configuration> &configuration);

    /// @p callback is told once for each start of a target that refuses because it leaves.
    void onLeaving(std::function<void(const TargetId &, Incarnation)> callback)
    {
        m_leaving = std::move(callback);
    }

    void acquire(const TargetDemand &demand, Callback callback) override;
    void withdraw(const RequestId &request) override;
    void tokenReceived(const AttemptId &attempt) override;
    void attemptEnded(const AttemptId &attempt, const TargetId &target,
                      AttemptOutcome outcome) override;
    void requestEnded(const RequestId &request) override;
    bool takeRetry(const WorkspaceId &workspace, const TargetId &target) override;

private:
    struct Waiting;
    using Wait = std::shared_ptr<Waiting>;

    void advance(const Wait &wait);
    void placeOnProbation(const Wait &wait);
    void placed(const Wait &wait, const Result<TargetId> &target);
    void give(const Wait &wait, const TargetId &target);
    void refuse(const Wait &wait, const Error &error);
    void tryLater(const Wait &wait);
    void targetLost(const TargetId &target);
    void targetLeaves(const TargetId &target);
    bool isPlain(const TargetId &target) const;
    void bringBackAfter(const TargetId &target, Milliseconds pause);

    Surroundings m_surroundings;
    const DataCentreId m_dataCentre;
    std::shared_ptr<const Configuration> m_configuration;
    std::function<void(const TargetId &, Incarnation)> m_leaving;
    QHash<RequestId, Wait> m_waiting;
    /// Fingerprints of attempts that are under way.
    QHash<AttemptId, RequestFingerprint> m_running;
    /// Plain services report no load, so nothing else would bring their targets back.
    QHash<TargetId, std::shared_ptr<TimerSubscription>> m_backAgain;
};

} // namespace cranberry
