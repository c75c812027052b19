#include "daemon/Dispatcher.h"

#include "admission/AdmissionQueue.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "placement/TargetTable.h"

namespace cranberry {

namespace {

/// How long a plain service's target that could not be reached is left alone.
constexpr Milliseconds PlainTargetPause{1000};

} // namespace

Dispatcher::Dispatcher(TimerService &timers, TargetTable &targets, AdmissionQueue &admission,
                       DataCentreId dataCentre)
    : m_timers(timers)
    , m_targets(targets)
    , m_admission(admission)
    , m_dataCentre(std::move(dataCentre))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_configuration = configuration;
    m_targets.setConfiguration(*configuration);
    m_admission.setConfiguration(configuration);
    m_admission.capacityChanged();
}

void Dispatcher::acquire(const AdmissionRequest &request, Callback callback)
{
    AdmissionRequest located = request;
    located.placement.dataCentre = m_dataCentre;
    m_admission.enqueue(
        located, [this, callback = std::move(callback)](const Result<TargetId> &target) {
            if (!target) {
                callback(target.error());
                return;
            }
            // Admission decides under the newest configuration, so the target is in it.
            const auto found = m_configuration->targets.constFind(target.value());
            const HttpEndpoint endpoint =
                found == m_configuration->targets.constEnd() ? HttpEndpoint() : found->endpoint;
            callback(TargetPlace{target.value(), endpoint});
        });
}

void Dispatcher::withdraw(const RequestId &request)
{
    m_admission.cancel(request);
}

void Dispatcher::tokenReceived(const AttemptId &attempt)
{
    m_admission.tokenReceived(attempt);
}

void Dispatcher::attemptEnded(const AttemptId &attempt, const TargetId &target,
                              AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::TargetLost)
        targetLost(target);
    const bool finished = outcome == AttemptOutcome::Finished;
    m_admission.attemptEnded(attempt, finished ? AttemptEnd::Finished : AttemptEnd::CutOff);
}

void Dispatcher::targetLost(const TargetId &target)
{
    if (!m_targets.markDead(target))
        return;
    logEvent(LogLevel::Warning, EventId::TargetDead, {{"target", target.text()}});
    const auto found = m_configuration->targets.constFind(target);
    const bool plain = found != m_configuration->targets.constEnd() && found->models.isEmpty();
    if (!plain)
        return;
    m_backAgain[target] = m_timers.after(PlainTargetPause, [this, target] {
        m_targets.markBack(target);
        m_admission.capacityChanged();
        m_backAgain.remove(target);
    });
}

void Dispatcher::requestEnded(const RequestId &request)
{
    m_admission.requestEnded(request);
}

bool Dispatcher::takeRetry(const WorkspaceId &workspace, const TargetId &target)
{
    return m_admission.takeRetry(workspace, target);
}

} // namespace cranberry
