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

/// How long a plain service's target that could not be reached is left alone.
constexpr Milliseconds PlainTargetPause{1000};
/// The same for one that refused because it leaves.
constexpr Milliseconds PlainTargetLeavingPause{60'000};
/// How soon a request is looked at again that has to keep away from suspects, or is one.
constexpr Milliseconds ProbationPause{100};

bool isAllowed(const TargetLoad &load, const QSet<TargetId> &excluded)
{
    return !excluded.contains(load.target);
}

} // namespace

/// One attempt that has no target yet.
struct Dispatcher::Waiting {
    AdmissionRequest admission;
    RequestFingerprint fingerprint;
    Callback callback;
    std::unique_ptr<TimerSubscription> timer;
};

Dispatcher::Dispatcher(const Surroundings &surroundings, DataCentreId dataCentre)
    : m_surroundings(surroundings)
    , m_dataCentre(std::move(dataCentre))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_configuration = configuration;
    m_surroundings.targets.setConfiguration(*configuration);
    m_surroundings.router.setConfiguration(configuration);
    m_surroundings.admission.capacityChanged();
}

void Dispatcher::acquire(const TargetDemand &demand, Callback callback)
{
    const auto wait = std::make_shared<Waiting>();
    wait->admission = demand.admission;
    wait->admission.placement.dataCentre = m_dataCentre;
    wait->fingerprint = demand.fingerprint;
    wait->callback = std::move(callback);
    m_waiting.insert(demand.admission.placement.request, wait);
    advance(wait);
}

void Dispatcher::advance(const Wait &wait)
{
    wait->timer.reset();
    const MonotonicTime now = m_surroundings.timers.now();
    switch (m_surroundings.quarantine.verdict(wait->fingerprint, now)) {
    case QuarantineVerdict::Quarantined:
        refuse(wait,
               {ErrorKind::Quarantined,
                Ran::No,
                QStringLiteral("this request crashed two targets and is held back"),
                {},
                {}});
        return;
    case QuarantineVerdict::Suspect:
        placeOnProbation(wait);
        return;
    case QuarantineVerdict::Free:
        break;
    }
    m_surroundings.router.enqueue(
        wait->admission,
        [this, weak = std::weak_ptr<Waiting>(wait)](const Result<TargetId> &target) {
            if (const Wait waiting = weak.lock())
                placed(waiting, target);
        });
}

void Dispatcher::placeOnProbation(const Wait &wait)
{
    const PlacementRequest &placement = wait->admission.placement;
    const MonotonicTime now = m_surroundings.timers.now();
    const QList<TargetLoad> loads = placement.model.isEmpty()
        ? m_surroundings.targets.loadsFor(placement.service, now)
        : m_surroundings.targets.loadsFor(placement.model, now);
    QList<ProbationCandidate> candidates;
    for (const TargetLoad &load : loads) {
        if (isAllowed(load, placement.excluded))
            candidates.append({load.target, load.ownRequests + load.remoteRequests});
    }
    const std::optional<TargetId> target =
        m_surroundings.quarantine.probationTarget(wait->fingerprint, candidates);
    if (!target) {
        tryLater(wait);
        return;
    }
    logEvent(LogLevel::Info, EventId::QuarantineSuspect,
             {{"request", placement.request.text()}, {"target", target->text()}});
    m_surroundings.targets.attemptSent(*target, wait->admission.attempt, placement, now);
    give(wait, *target);
}

void Dispatcher::placed(const Wait &wait, const Result<TargetId> &target)
{
    if (!target) {
        refuse(wait, target.error());
        return;
    }
    const QuarantineVerdict verdict =
        m_surroundings.quarantine.verdict(wait->fingerprint, m_surroundings.timers.now());
    const bool onProbation = m_surroundings.quarantine.isOnProbation(target.value());
    if (onProbation || verdict != QuarantineVerdict::Free) {
        // While this one waited, a suspect went to that target, or it became a suspect itself.
        // Two suspects on one target could not be told apart if it died.
        m_surroundings.admission.attemptEnded(wait->admission.attempt, AttemptEnd::Incomplete);
        tryLater(wait);
        return;
    }
    give(wait, target.value());
}

void Dispatcher::tryLater(const Wait &wait)
{
    const MonotonicTime now = m_surroundings.timers.now();
    if (now + ProbationPause >= wait->admission.deadline) {
        refuse(wait,
               {ErrorKind::DeadlineTooShort,
                Ran::No,
                QStringLiteral("no target is free of suspect requests in time"),
                {},
                {}});
        return;
    }
    wait->admission.retry = true;
    wait->timer =
        m_surroundings.timers.after(ProbationPause, [this, weak = std::weak_ptr<Waiting>(wait)] {
            if (const Wait waiting = weak.lock())
                advance(waiting);
        });
}

void Dispatcher::give(const Wait &wait, const TargetId &target)
{
    const AdmissionRequest &admission = wait->admission;
    m_waiting.remove(admission.placement.request);
    m_running.insert(admission.attempt, wait->fingerprint);
    m_surroundings.quarantine.attemptStarted(wait->fingerprint, admission.placement.workspace,
                                             target, m_surroundings.timers.now());
    // Decisions are made under the newest configuration, so the target is in it.
    const auto found = m_configuration->targets.constFind(target);
    const HttpEndpoint endpoint =
        found == m_configuration->targets.constEnd() ? HttpEndpoint() : found->endpoint;
    wait->callback(TargetAssignment{target, endpoint, m_surroundings.targets.incarnation(target)});
}

void Dispatcher::refuse(const Wait &wait, const Error &error)
{
    m_waiting.remove(wait->admission.placement.request);
    wait->callback(error);
}

void Dispatcher::withdraw(const RequestId &request)
{
    m_waiting.remove(request);
    m_surroundings.router.cancel(request);
}

void Dispatcher::tokenReceived(const AttemptId &attempt)
{
    m_surroundings.admission.tokenReceived(attempt);
}

void Dispatcher::attemptEnded(const AttemptId &attempt, const TargetId &target,
                              AttemptOutcome outcome)
{
    const RequestFingerprint fingerprint = m_running.take(attempt);
    // A request that never reached a target cannot have crashed it: it is off the target before
    // the blame is laid.
    if (outcome == AttemptOutcome::NotConnected)
        m_surroundings.quarantine.attemptFinished(fingerprint, target, false);
    if (outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::NotConnected)
        targetLost(target);
    else if (outcome == AttemptOutcome::Leaving)
        targetLeaves(target);
    const bool finished = outcome == AttemptOutcome::Finished;
    m_surroundings.quarantine.attemptFinished(fingerprint, target, finished);
    m_surroundings.admission.attemptEnded(attempt,
                                          finished ? AttemptEnd::Finished : AttemptEnd::Incomplete);
}

void Dispatcher::targetLost(const TargetId &target)
{
    if (!m_surroundings.targets.markDead(target))
        return;
    logEvent(LogLevel::Warning, EventId::TargetDead, {{"target", target.text()}});
    const bool wasLeaving = m_surroundings.targets.isLeaving(target);
    m_surroundings.quarantine.targetDied(
        target, wasLeaving ? TargetDeathCause::Reclaimed : TargetDeathCause::Crash,
        m_surroundings.timers.now());
    if (isPlain(target))
        bringBackAfter(target, PlainTargetPause);
}

void Dispatcher::targetLeaves(const TargetId &target)
{
    if (isPlain(target)) {
        // It never reports an incarnation, so only time can show that it was started anew.
        if (m_surroundings.targets.markDead(target))
            logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
        bringBackAfter(target, PlainTargetLeavingPause);
        return;
    }
    const Incarnation incarnation = m_surroundings.targets.incarnation(target);
    if (!m_surroundings.targets.markLeaving(target, incarnation))
        return;
    logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
    if (m_leaving)
        m_leaving(target, incarnation);
}

bool Dispatcher::isPlain(const TargetId &target) const
{
    const auto found = m_configuration->targets.constFind(target);
    return found != m_configuration->targets.constEnd() && found->models.isEmpty();
}

void Dispatcher::bringBackAfter(const TargetId &target, Milliseconds pause)
{
    m_backAgain[target] = m_surroundings.timers.after(pause, [this, target] {
        m_surroundings.targets.markAlive(target);
        m_surroundings.admission.capacityChanged();
        m_backAgain.remove(target);
    });
}

void Dispatcher::requestEnded(const RequestId &request)
{
    m_surroundings.admission.requestEnded(request);
}

bool Dispatcher::takeRetry(const WorkspaceId &workspace, const TargetId &target)
{
    return m_surroundings.admission.takeRetry(workspace, target);
}

} // namespace cranberry
