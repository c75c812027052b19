// Defines Dispatcher, which joins admission and the target table for delivery.
#pragma once

#include "base/Units.h"
#include "delivery/TargetSource.h"

#include <QHash>

#include <functional>
#include <memory>

namespace cranberry {

class AdmissionQueue;
class TargetTable;
class TimerService;
class TimerSubscription;
struct Configuration;

/// Turns the target that admission chose into a place to send to, and what became of the send
/// into news for the tables.
/// Thread safety: only from the thread of the event loop.
class Dispatcher final : public TargetSource
{
public:
    /// Precondition: the references outlive the dispatcher.
    Dispatcher(TimerService &timers, TargetTable &targets, AdmissionQueue &admission,
               DataCentreId dataCentre);
    ~Dispatcher() override;

    /// New decisions are made under @p configuration.
    void setConfiguration(const std::shared_ptr<const Configuration> &configuration);

    void acquire(const AdmissionRequest &request, Callback callback) override;
    void withdraw(const RequestId &request) override;
    void tokenReceived(const AttemptId &attempt) override;
    void attemptEnded(const AttemptId &attempt, const TargetId &target,
                      AttemptOutcome outcome) override;
    void requestEnded(const RequestId &request) override;
    bool takeRetry(const WorkspaceId &workspace, const TargetId &target) override;

private:
    void targetLost(const TargetId &target);

    TimerService &m_timers;
    TargetTable &m_targets;
    AdmissionQueue &m_admission;
    const DataCentreId m_dataCentre;
    std::shared_ptr<const Configuration> m_configuration;
    /// Plain services report no load, so nothing else would bring their targets back.
    QHash<TargetId, std::shared_ptr<TimerSubscription>> m_backAgain;
};

} // namespace cranberry
