#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/BrittleServices.h"
#include "relay/EngineReports.h"
#include "relay/FleetAdmission.h"
#include "relay/GenerationMove.h"
#include "relay/OutputForecast.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayContext.h"
#include "relay/RoomReservation.h"
#include "relay/ServicePressure.h"
#include "relay/ShutdownPlan.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetLimits.h"
#include "relay/WaitingRank.h"
#include "relay/WaitingRequests.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

/// A request for a plain service waits for a target for at most this fraction of its objective.
constexpr double PlainWaitFraction = 0.6;
/// A generation that could not be on time even at its arrival waits this long for room that no
/// other request needs. Its caller gives up after about seven seconds without an event.
constexpr Milliseconds OverdueWaitLimit{6000};
/// Such a generation also waits no longer than this fraction of its timeout.
constexpr double OverdueWaitFraction = 0.5;
/// Number of engines that are asked for their load before a generation is placed. Two choices
/// spread the load almost as well as asking all; the third covers one that does not answer.
constexpr int EnginesPolled = 3;
constexpr Milliseconds ReportMaxAge{250};
/// Maximum load at which an engine accepts a generation without output. It exceeds 1 because
/// forecasts count the full length of answers, of which on average half has been generated.
constexpr double BaseMaxLoad = 1.04;
/// As above, for engines that fail if they reject too much.
constexpr double BrittleMaxLoad = 0.8;
/// Reduction of the maximum load per fraction of the engine's memory that the answer will occupy.
/// Long answers hold memory for longer than their value justifies: under overload, three answers of
/// four times the mean length together earn a quarter of what short answers earn in the same
/// memory.
constexpr double LengthDiscount = 2.0;
/// Maximum load at which an engine accepts a generation that is already late.
constexpr double OverdueMaxLoad = 0.75;
/// Maximum unread prompt tokens at an engine that accepts a generation that is already late, so
/// that it does not delay others.
constexpr Tokens OverdueMaxUnread{3000};
/// Prompt tokens that an engine reads per ms while it also generates.
constexpr double PromptTokensPerMs = 7;
/// Increment of the forecast of an answer that exceeds it: about a third of a mean answer.
constexpr Tokens ForecastStep{256};
/// Fraction of the expected output that is reserved in addition to the prompt.
constexpr double ReservedOutputFraction = 0.5;
/// Number of targets with a rate limit whose permits one request asks for. In a large fleet many
/// targets of a service may have one, and each ask is a message.
constexpr int MaxPermitRequests = 4;
/// The request is sent immediately after the grant, over the same connection.
constexpr Milliseconds ReservationLifetime{500};
/// The news that a request has ended at a target reaches the other daemons after this time. In the
/// meantime its slot would be idle, so that targets under pressure take some requests more.
constexpr double EndNewsMilliseconds = 20;

} // namespace

Tokens RelayRun::expectedTokens() const
{
    return m_task.engine ? m_task.request.promptTokens + m_expectedOutput : Tokens(0);
}

TargetNeed RelayRun::need() const
{
    TargetNeed need;
    need.dataCentre = m_context.dataCentre;
    need.daemonDataCentre = m_context.dataCentre;
    need.tokens = expectedTokens();
    need.prompt = m_task.request.promptTokens;
    need.engine = m_task.engine;
    need.distance = m_context.distanceCosts();
    need.excluded =
        m_excluded + m_context.limits.withoutPermit() + m_context.availability.notStarting();
    const AdmissionSettings &admission = m_context.admission.settings();
    need.usesSpeed = admission.observedSpeed;
    const bool isPlainContended = !m_task.engine && admission.order
        && (m_context.pressure.isPressed(m_task.service)
            || m_context.admission.isBusy(m_task.service));
    if (admission.order && m_context.admission.contendedFor(m_task.service) >= ContentionKnownDelay)
        need.loadTimeout = ContendedLoadTimeout;
    if (isPlainContended)
        need.slotOvercommit = EndNewsMilliseconds
            / std::max(double(m_context.pressure.meanTime(m_task.service).count()), 1.0);
    // Engines exchange their loads, and their memory is too small to be dealt out.
    if (!m_task.engine)
        need.excluded += m_context.brittle.withoutRoom(m_task.service);
    return need;
}

void RelayRun::requestPermits(bool isFirst)
{
    if (!m_context.limits.isAnyLimited())
        return;
    QList<TargetId> targets;
    for (const TargetRecord *target : m_context.targets.takingWork(m_task.service)) {
        const TargetId &id = target->entry.id;
        if (!m_excluded.contains(id) && m_context.limits.isLimited(id)
            && !m_context.availability.isPaused(id))
            targets.append(id);
    }
    for (int asked = 0; asked < MaxPermitRequests && !targets.isEmpty(); ++asked) {
        const int chosen = QRandomGenerator::global()->bounded(int(targets.size()));
        m_context.limits.requestPermit(targets.takeAt(chosen), isFirst);
    }
}

QList<TargetId> RelayRun::limitedTargets() const
{
    QList<TargetId> limited;
    for (const TargetRecord *target : m_context.targets.takingWork(m_task.service)) {
        const TargetId &id = target->entry.id;
        if (m_excluded.contains(id))
            continue;
        if (!m_context.limits.isLimited(id))
            return {};
        limited.append(id);
    }
    return limited;
}

std::optional<Milliseconds> RelayRun::untilResumed() const
{
    Milliseconds soonest = Milliseconds::max();
    for (const TargetRecord *target : m_context.targets.takingWork(m_task.service)) {
        const TargetId &id = target->entry.id;
        if (m_excluded.contains(id) || m_context.availability.hasSaidLeaving(id))
            continue;
        if (!m_context.availability.isPaused(id))
            return std::nullopt;
        const Milliseconds permit = m_context.limits.untilPermit(id).value_or(Milliseconds(0));
        soonest = std::min(soonest, std::max(m_context.availability.untilResumed(id), permit));
    }
    return soonest == Milliseconds::max() ? std::nullopt : std::optional<Milliseconds>(soonest);
}

bool RelayRun::rejectIfPaused()
{
    const std::optional<Milliseconds> resumed = untilResumed();
    const MonotonicTime now = m_context.timers.now();
    if (!resumed || now + *resumed < std::min(waitsUntil(), m_deadline))
        return false;
    logEvent(LogLevel::Info, EventId::RelayPaused,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"resumed_ms", QString::number(resumed->count())}});
    if (m_fallback)
        forwardAnswer(*m_fallback);
    else
        fail(ErrorKind::NoTarget, QStringLiteral("all targets have asked for a pause"));
    return true;
}

bool RelayRun::rejectIfUnavailable()
{
    return rejectIfPaused() || rejectIfLimited();
}

bool RelayRun::rejectIfLimited()
{
    const QList<TargetId> limited = limitedTargets();
    if (limited.isEmpty())
        return false;
    Milliseconds soonest = Milliseconds::max();
    for (const TargetId &target : limited)
        soonest = std::min(soonest, m_context.limits.untilPermit(target).value_or(Milliseconds(0)));
    const MonotonicTime now = m_context.timers.now();
    if (now + soonest < std::min(waitsUntil(), m_deadline))
        return false;
    m_rejectionDelay = m_context.limits.reject(limited);
    logEvent(LogLevel::Info, EventId::RelayLimited,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"targets", QString::number(limited.size())},
              {"next_permit_ms", QString::number(soonest.count())}});
    if (m_fallback)
        forwardAnswer(*m_fallback);
    else
        fail(ErrorKind::NoTarget, QStringLiteral("all targets have reached their rate limits"));
    return true;
}

void RelayRun::place()
{
    m_phase = Phase::Placing;
    if (holdBack())
        return;
    if (!m_task.engine || m_context.hasPeers() || shouldForward()) {
        if (!tryPlaceOnArrival())
            waitForRoom();
        return;
    }
    const QList<TargetId> polled = bestTargets(m_context.targets.takingWork(m_task.service), need(),
                                               m_context.timers.now(), EnginesPolled);
    m_context.reports.refresh(polled, ReportMaxAge, [weak = weak_from_this()] {
        const auto run = weak.lock();
        if (run && run->m_phase == Phase::Placing && !run->tryPlaceOnArrival())
            run->waitForRoom();
    });
}

Milliseconds RelayRun::readingTime() const
{
    return Milliseconds(qint64(double(m_task.request.promptTokens.value()) / PromptTokensPerMs));
}

bool RelayRun::isOverdue(MonotonicTime now) const
{
    return now - m_task.arrived + readingTime() > m_task.route.objective;
}

WaitingRank RelayRun::waitingRank(MonotonicTime now) const
{
    return {isOverdue(now), m_task.route.priority, m_expectedOutput, m_task.arrived};
}

Tokens RelayRun::unreadLimit(MonotonicTime now) const
{
    if (isOverdue(now))
        return OverdueMaxUnread + m_task.request.promptTokens;
    const std::chrono::duration<double, std::milli> waited = now - m_task.arrived;
    const double left = double(m_task.route.objective.count()) - waited.count();
    return Tokens(qint64(left * PromptTokensPerMs));
}

double RelayRun::maxLoad(MonotonicTime now) const
{
    if (isOverdue(now) && m_expectedOutput > ShortOutputLimit)
        return OverdueMaxLoad;
    const double memory = std::max(double(m_task.engine->memory.value()), 1.0);
    const double base = m_context.brittle.isBrittle(m_task.service) ? BrittleMaxLoad : BaseMaxLoad;
    return base - LengthDiscount * double(m_expectedOutput.value()) / memory;
}

bool RelayRun::tryPlaceOnArrival()
{
    return tryPlace(m_context.waiting.workAhead(m_task.service, urgency(m_context.timers.now())));
}

bool RelayRun::tryPlace(const Work &ownAhead)
{
    if (shouldForward()) {
        if (!endIfOutlastsShutdown())
            forward();
        return true;
    }
    // The request may have been suspected while it waited.
    if (holdBack() || endIfOutlastsShutdown())
        return true;
    const MonotonicTime now = m_context.timers.now();
    requestPermits(m_phase == Phase::Placing);
    TargetNeed wanted = need();
    if (m_task.engine)
        wanted.unreadLimit = unreadLimit(now);
    const QList<const TargetRecord *> targets = m_context.targets.takingWork(m_task.service);
    m_waitsForRoom = canUseRoom(targets);
    const TargetPick pick = chooseTarget(targets, wanted, now);
    const bool isFull = m_task.engine && pick.load > maxLoad(now);
    if (!pick.target || isFull) {
        m_roomLeftSince.reset();
        return false;
    }
    const Work ahead = ownAhead + m_context.admission.workAhead(m_task.service, urgency(now));
    const auto room = [&] {
        return roomFor(targets, wanted, m_task.engine ? maxLoad(now) : 0, now);
    };
    // A caller that returned early gets only what nobody waits for.
    if (m_returns == ReturnKind::Early)
        m_roomLeftSince.reset();
    const bool isTurn = m_context.admission.mayPlace(ahead, work(), room, m_roomLeftSince);
    if (!isTurn) {
        if (m_phase == Phase::Placing)
            logEvent(LogLevel::Info, EventId::AdmissionHeld,
                     {{"request", m_task.request.id.text()},
                      {"service", m_task.service.text()},
                      {"level", QString::number(urgency(now).level)},
                      {"work", QString::number(work().room, 'f', 0)},
                      {"ahead", QString::number(ahead.room, 'f', 0)}});
        return false;
    }
    if (reservesRoom(pick.target->entry.id))
        reserve(pick);
    else
        send(*pick.target, pick.load);
    return true;
}

bool RelayRun::reservesRoom(const TargetId &target) const
{
    // A reservation is one more request to a target that takes few.
    return m_task.engine && m_task.engine->maxReservation.count() > 0
        && !m_context.limits.isLimited(target);
}

void RelayRun::reserve(const TargetPick &pick)
{
    m_phase = Phase::Reserving;
    m_waitTimer.reset();
    m_reservationLoad = pick.load;
    // Counted before the grant, so that this daemon sends its next request to another engine.
    occupy(pick.target->entry.id);
    const Tokens output(qint64(ReservedOutputFraction * double(m_expectedOutput.value())));
    m_reservation = std::make_unique<RoomReservation>(
        m_context, pick.target->entry, m_task.request.promptTokens + output,
        std::min(ReservationLifetime, m_task.engine->maxReservation),
        [this](const ReservationOutcome &outcome) {
            const auto self = shared_from_this();
            reservationEnded(outcome);
        });
}

void RelayRun::reservationEnded(const ReservationOutcome &outcome)
{
    const TargetRecord *record = m_context.targets.find(m_target);
    const bool isGranted = outcome.kind == ReservationOutcome::Kind::Granted;
    const bool mayStart = m_context.availability.mayCall(m_target, CallPurpose::Request);
    if (isGranted && record && mayStart && m_context.targets.takesWork(m_target)
        && !outlastsShutdown()) {
        send(*record, m_reservationLoad);
        return;
    }
    logEvent(LogLevel::Info, EventId::ReservationRefused,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"outcome", QLatin1String(reservationOutcomeName(outcome.kind))},
              {"status", QString::number(outcome.status)},
              {"load", QString::number(m_reservationLoad, 'f', 2)}});
    const TargetId target = m_target;
    leaveTarget();
    switch (outcome.kind) {
    case ReservationOutcome::Kind::Granted:
        break;
    case ReservationOutcome::Kind::NoRoom:
        m_context.targets.markFull(target);
        break;
    case ReservationOutcome::Kind::Misdirected:
        m_context.targets.markLeaving(target, "its address belongs to another target");
        break;
    case ReservationOutcome::Kind::Unknown:
        m_excluded.insert(target);
        m_context.targets.recordFailure(target, "no answer to a reservation");
        break;
    }
    if (!tryPlaceOnArrival())
        waitForRoom();
}

Milliseconds RelayRun::waitLimit() const
{
    if (m_task.engine) {
        // A request that can no longer start on time should be retried by its caller: here it would
        // wait behind all requests that still can, and be lost if this daemon ends.
        const Milliseconds onTime = m_task.route.objective - readingTime();
        return onTime.count() > 0
            ? onTime
            : std::min(OverdueWaitLimit,
                       std::chrono::duration_cast<Milliseconds>(OverdueWaitFraction * timeout()));
    }
    return std::chrono::duration_cast<Milliseconds>(PlainWaitFraction * m_task.route.objective);
}

MonotonicTime RelayRun::waitsUntil() const
{
    const MonotonicTime limit = m_task.arrived + waitLimit();
    return m_context.shutdown
        ? std::min(limit, m_context.shutdown->answersDue - remainingDuration())
        : limit;
}

void RelayRun::waitForRoom()
{
    // The operator decides when the evacuation ends, so that waiting until the timeout would not
    // help the caller.
    if (m_context.targets.isEvacuated(m_task.service)) {
        fail(ErrorKind::NoTarget, QStringLiteral("the data centres of all targets are evacuated"));
        return;
    }
    const MonotonicTime now = m_context.timers.now();
    if (rejectIfUnavailable()
        || rejectIfHopeless(m_context.waiting.workAhead(m_task.service, urgency(now))))
        return;
    if (!m_task.engine && m_waitsForRoom)
        m_context.pressure.recordDemand(m_task.service);
    m_phase = Phase::Waiting;
    logEvent(LogLevel::Info, EventId::RelayWaiting,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"targets", QString::number(m_context.targets.count(m_task.service))},
              {"limited", QString::number(limitedTargets().size())}});
    m_context.waiting.add(shared_from_this());
    startWaitTimer();
}

void RelayRun::startWaitTimer()
{
    // Rounded up, so that the time has passed when the timer fires.
    const auto left = std::chrono::ceil<Milliseconds>(waitsUntil() - m_context.timers.now());
    m_waitTimer = m_context.timers.after(std::clamp(left, Milliseconds(0), timeLeft()), [this] {
        const auto self = shared_from_this();
        waitTimedOut();
    });
}

void RelayRun::waitTimedOut()
{
    if (m_phase != Phase::Waiting || endIfOutlastsShutdown())
        return;
    // The answer of a target is more informative than a lack of room elsewhere.
    if (m_fallback) {
        forwardAnswer(*m_fallback);
        return;
    }
    const QList<TargetId> limited = limitedTargets();
    if (!limited.isEmpty())
        m_rejectionDelay = m_context.limits.reject(limited);
    const AdmissionSettings &settings = m_context.admission.settings();
    const bool mayPromise = settings.order && settings.earlyRejection && limited.isEmpty()
        && m_waitsForRoom && m_ran == Ran::No;
    if (mayPromise) {
        const AdmissionEstimate current = estimate({}, Milliseconds(0));
        if (current.placedPerSecond)
            rejectForRoom(current, Milliseconds(0));
    }
    fail(ErrorKind::NoTarget, QStringLiteral("no target has room for the request"));
}

void RelayRun::extendForecast()
{
    // An answer that exceeds its forecast is expected to continue for about as long as the excess.
    if (!m_task.engine || m_target.isEmpty())
        return;
    const Tokens made(m_lastEvent * m_task.engine->tokensPerEvent);
    const Tokens held = m_task.request.promptTokens + made;
    if (held <= m_reserved)
        return;
    const Tokens maxTokens = m_task.request.promptTokens + m_task.request.maxOutput;
    const Tokens wanted = std::min(held + ForecastStep, std::max(maxTokens, held));
    m_context.targets.tokensAdded(m_target, wanted - m_reserved);
    m_reserved = wanted;
}

} // namespace cranberry
