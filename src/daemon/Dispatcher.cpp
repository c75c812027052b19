#include "daemon/Dispatcher.h"

#include "admission/AdmissionQueue.h"
#include "admission/PlacementRouter.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/TargetDemand.h"
#include "placement/TargetTable.h"
#include "quarantine/ProbationCandidate.h"
#include "quarantine/Quarantine.h"

namespace cranberry {

namespace {

/// Time for which a plain service's target gets no requests after a connection to it failed or
/// broke.
constexpr Milliseconds PlainTargetLostDelay{1000};
/// The same for a target that refused a request because it is shutting down.
constexpr Milliseconds PlainTargetLeavingDelay{60'000};
/// Delay before a suspect request, or one whose target is on probation, asks for a target again.
constexpr Milliseconds ProbationRetryDelay{100};

bool isEligible(const TargetLoad &load, const QSet<TargetId> &excluded)
{
    return !excluded.contains(load.target);
}

} // namespace

/// An acquire() that has not called back.
struct Dispatcher::PendingAcquire {
    AdmissionRequest admission;
    RequestFingerprint fingerprint;
    Callback callback;
    std::unique_ptr<TimerSubscription> timer;
};

Dispatcher::Dispatcher(const Dependencies &dependencies, DataCentreId dataCentre)
    : m_dependencies(dependencies)
    , m_dataCentre(std::move(dataCentre))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_configuration = configuration;
    m_dependencies.targets.setConfiguration(*configuration);
    m_dependencies.router.setConfiguration(configuration);
    m_dependencies.admission.capacityChanged();
}

void Dispatcher::acquire(const TargetDemand &demand, Callback callback)
{
    const auto pending = std::make_shared<PendingAcquire>();
    pending->admission = demand.admission;
    pending->admission.placement.dataCentre = m_dataCentre;
    pending->fingerprint = demand.fingerprint;
    pending->callback = std::move(callback);
    m_pendingAcquires.insert(demand.admission.placement.request, pending);
    requestPlacement(pending);
}

void Dispatcher::requestPlacement(const PendingAcquirePtr &pending)
{
    pending->timer.reset();
    const MonotonicTime now = m_dependencies.timers.now();
    switch (m_dependencies.quarantine.verdict(pending->fingerprint, now)) {
    case QuarantineVerdict::Quarantined:
        failAcquire(pending,
                    {ErrorKind::Quarantined,
                     Ran::No,
                     QStringLiteral("the request is quarantined because it crashed two targets"),
                     {},
                     {}});
        return;
    case QuarantineVerdict::Suspect:
        placeOnProbation(pending);
        return;
    case QuarantineVerdict::Free:
        break;
    }
    m_dependencies.router.enqueue(
        pending->admission,
        [this, weak = std::weak_ptr<PendingAcquire>(pending)](const Result<TargetId> &target) {
            if (const PendingAcquirePtr locked = weak.lock())
                handlePlacement(locked, target);
        });
}

void Dispatcher::placeOnProbation(const PendingAcquirePtr &pending)
{
    const PlacementRequest &placement = pending->admission.placement;
    const MonotonicTime now = m_dependencies.timers.now();
    const QList<TargetLoad> loads = placement.model.isEmpty()
        ? m_dependencies.targets.loadsFor(placement.service, now)
        : m_dependencies.targets.loadsFor(placement.model, now);
    QList<ProbationCandidate> candidates;
    for (const TargetLoad &load : loads) {
        if (isEligible(load, placement.excluded))
            candidates.append({load.target, load.ownRequests + load.remoteRequests});
    }
    const std::optional<TargetId> target =
        m_dependencies.quarantine.probationTarget(pending->fingerprint, candidates);
    if (!target) {
        scheduleRetry(pending);
        return;
    }
    logEvent(LogLevel::Info, EventId::QuarantineSuspect,
             {{"request", placement.request.text()}, {"target", target->text()}});
    m_dependencies.targets.attemptSent(*target, pending->admission.attempt, placement, now);
    completeAcquire(pending, *target);
}

void Dispatcher::handlePlacement(const PendingAcquirePtr &pending, const Result<TargetId> &target)
{
    if (!target) {
        failAcquire(pending, target.error());
        return;
    }
    const QuarantineVerdict verdict =
        m_dependencies.quarantine.verdict(pending->fingerprint, m_dependencies.timers.now());
    const bool onProbation = m_dependencies.quarantine.isOnProbation(target.value());
    if (onProbation || verdict != QuarantineVerdict::Free) {
        // While this request was queued, a suspect was sent to the target or this request became
        // a suspect. If a target with two suspects dies, the crash cannot be attributed to either.
        m_dependencies.admission.attemptEnded(pending->admission.attempt, AttemptEnd::Incomplete);
        scheduleRetry(pending);
        return;
    }
    completeAcquire(pending, target.value());
}

void Dispatcher::scheduleRetry(const PendingAcquirePtr &pending)
{
    const MonotonicTime now = m_dependencies.timers.now();
    if (now + ProbationRetryDelay >= pending->admission.deadline) {
        failAcquire(
            pending,
            {ErrorKind::DeadlineTooShort,
             Ran::No,
             QStringLiteral("no target without a suspect request is available before the deadline"),
             {},
             {}});
        return;
    }
    pending->admission.retry = true;
    pending->timer = m_dependencies.timers.after(
        ProbationRetryDelay, [this, weak = std::weak_ptr<PendingAcquire>(pending)] {
            if (const PendingAcquirePtr locked = weak.lock())
                requestPlacement(locked);
        });
}

void Dispatcher::completeAcquire(const PendingAcquirePtr &pending, const TargetId &target)
{
    const AdmissionRequest &admission = pending->admission;
    m_pendingAcquires.remove(admission.placement.request);
    m_attemptFingerprints.insert(admission.attempt, pending->fingerprint);
    m_dependencies.quarantine.attemptStarted(pending->fingerprint, admission.placement.workspace,
                                             target, m_dependencies.timers.now());
    // Placement uses the current configuration, so it contains the target.
    const auto found = m_configuration->targets.constFind(target);
    const HttpEndpoint endpoint =
        found == m_configuration->targets.constEnd() ? HttpEndpoint() : found->endpoint;
    pending->callback(
        TargetAssignment{target, endpoint, m_dependencies.targets.incarnation(target)});
}

void Dispatcher::failAcquire(const PendingAcquirePtr &pending, const Error &error)
{
    m_pendingAcquires.remove(pending->admission.placement.request);
    pending->callback(error);
}

void Dispatcher::withdraw(const RequestId &request)
{
    m_pendingAcquires.remove(request);
    m_dependencies.router.cancel(request);
}

void Dispatcher::tokenReceived(const AttemptId &attempt)
{
    m_dependencies.admission.tokenReceived(attempt);
}

void Dispatcher::attemptEnded(const AttemptId &attempt, const TargetId &target,
                              AttemptOutcome outcome)
{
    const RequestFingerprint fingerprint = m_attemptFingerprints.take(attempt);
    // A request that did not reach the target cannot have crashed it. It is removed from the
    // target first so that the crash is not attributed to it.
    if (outcome == AttemptOutcome::NotConnected)
        m_dependencies.quarantine.attemptFinished(fingerprint, target, false);
    if (outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::NotConnected)
        handleTargetLost(target);
    else if (outcome == AttemptOutcome::Leaving)
        handleTargetLeaving(target);
    const bool finished = outcome == AttemptOutcome::Finished;
    m_dependencies.quarantine.attemptFinished(fingerprint, target, finished);
    m_dependencies.admission.attemptEnded(attempt,
                                          finished ? AttemptEnd::Finished : AttemptEnd::Incomplete);
}

void Dispatcher::handleTargetLost(const TargetId &target)
{
    if (!m_dependencies.targets.markDead(target))
        return;
    logEvent(LogLevel::Warning, EventId::TargetDead, {{"target", target.text()}});
    const bool wasLeaving = m_dependencies.targets.isLeaving(target);
    m_dependencies.quarantine.targetDied(
        target, wasLeaving ? TargetDeathCause::Reclaimed : TargetDeathCause::Crash,
        m_dependencies.timers.now());
    if (isPlainTarget(target))
        reinstateAfter(target, PlainTargetLostDelay);
}

void Dispatcher::handleTargetLeaving(const TargetId &target)
{
    if (isPlainTarget(target)) {
        // Plain targets report no incarnation, so a restart cannot be detected; the target is
        // used again after a fixed delay.
        if (m_dependencies.targets.markDead(target))
            logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
        reinstateAfter(target, PlainTargetLeavingDelay);
        return;
    }
    const Incarnation incarnation = m_dependencies.targets.incarnation(target);
    if (!m_dependencies.targets.markLeaving(target, incarnation))
        return;
    logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
    if (m_leavingCallback)
        m_leavingCallback(target, incarnation);
}

bool Dispatcher::isPlainTarget(const TargetId &target) const
{
    const auto found = m_configuration->targets.constFind(target);
    return found != m_configuration->targets.constEnd() && found->models.isEmpty();
}

void Dispatcher::reinstateAfter(const TargetId &target, Milliseconds delay)
{
    m_reinstateTimers[target] = m_dependencies.timers.after(delay, [this, target] {
        m_dependencies.targets.markAlive(target);
        m_dependencies.admission.capacityChanged();
        m_reinstateTimers.remove(target);
    });
}

void Dispatcher::requestEnded(const RequestId &request)
{
    m_dependencies.admission.requestEnded(request);
}

bool Dispatcher::takeRetry(const WorkspaceId &workspace, const TargetId &target)
{
    return m_dependencies.admission.takeRetry(workspace, target);
}

} // namespace cranberry
