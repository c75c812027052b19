// The part of RelayRun that decides when and where a request goes.
#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/CrashGuard.h"
#include "relay/EngineReports.h"
#include "relay/GenerationMove.h"
#include "relay/OutputForecast.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayContext.h"
#include "relay/RoomReservation.h"
#include "relay/TargetDirectory.h"
#include "relay/WaitingRequests.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A request for a plain service waits for a target for this part of its objective.
constexpr double WaitPart = 0.6;
/// A generation that could not begin on time from the first waits this long for room that nobody
/// else needs; its caller gives up after about seven seconds without an event.
constexpr Milliseconds OverduePatience{6000};
/// And no longer than this part of the time that its caller gives it.
constexpr double WaitPartOfTime = 0.5;
/// Engines asked for their load before a generation is placed. Two choices spread almost as well
/// as asking all; the third covers one that does not answer.
constexpr int EnginesAsked = 3;
constexpr Milliseconds ReportFreshFor{250};
/// Load up to which an engine takes a generation without any output: forecasts count answers at
/// their full length, on average half of it is there.
constexpr double FullLoad = 1.04;
/// Taken off that for each part of the engine's memory that the answer will take. A long answer
/// holds memory for longer than it is worth more: under overload three of four times the mean earn
/// a quarter of what as much memory earns with short ones.
constexpr double LengthDiscount = 2.0;
/// Load up to which an engine takes a generation that is late anyway.
constexpr double OverdueLoad = 0.75;
/// Prompts before a generation that is late anyway, so that it does not make others late.
constexpr Tokens OverdueUnread{3000};
/// Prompt tokens that an engine reads in a ms while it also generates.
constexpr double TokensReadPerMs = 7;
/// Added to the forecast of an answer that has outgrown it: about a third of a mean answer.
constexpr Tokens ForecastStep{256};
/// Part of the expected output for which room is reserved beside the prompt.
constexpr double ReservedOutputPart = 0.5;
/// The request follows the grant at once, over the same connection.
constexpr Milliseconds ReservationHolds{500};

} // namespace

Tokens RelayRun::expectedTokens() const
{
    return m_task.engine ? m_task.request.promptTokens + expectedOutput() : Tokens(0);
}

TargetNeed RelayRun::need() const
{
    TargetNeed need;
    need.dataCentre = m_context.dataCentre;
    need.home = m_context.dataCentre;
    need.tokens = expectedTokens();
    need.prompt = m_task.request.promptTokens;
    need.engine = m_task.engine;
    need.distance = m_context.distance();
    need.excluded = m_excluded;
    return need;
}

void RelayRun::place()
{
    m_phase = Phase::Placing;
    if (m_context.crashes.isHeldBack(m_task.fingerprint)) {
        // After a send that may have run, "not run" would not be true.
        fail(m_ran == Ran::No ? ErrorKind::Quarantined : ErrorKind::TargetFailed,
             QStringLiteral("the request crashes targets"));
        return;
    }
    if (!m_task.engine || m_context.knowsPeers()) {
        if (!tryPlace())
            waitForRoom();
        return;
    }
    const QList<TargetId> asked = likelyTargets(m_context.targets.takingWork(m_task.service),
                                                need(), m_context.timers.now(), EnginesAsked);
    m_context.reports.refresh(asked, ReportFreshFor, [weak = weak_from_this()] {
        const auto run = weak.lock();
        if (run && run->m_phase == Phase::Placing && !run->tryPlace())
            run->waitForRoom();
    });
}

Milliseconds RelayRun::readingTime() const
{
    return Milliseconds(qint64(double(m_task.request.promptTokens.value()) / TokensReadPerMs));
}

bool RelayRun::isOverdue() const
{
    return m_context.timers.now() - m_task.arrived + readingTime() > m_task.route.objective;
}

Tokens RelayRun::readable() const
{
    if (isOverdue())
        return OverdueUnread + m_task.request.promptTokens;
    const std::chrono::duration<double, std::milli> waited =
        m_context.timers.now() - m_task.arrived;
    const double left = double(m_task.route.objective.count()) - waited.count();
    return Tokens(qint64(left * TokensReadPerMs));
}

double RelayRun::mostLoad() const
{
    if (isOverdue() && expectedOutput() > BriefOutput)
        return OverdueLoad;
    const double memory = std::max(double(m_task.engine->memory.value()), 1.0);
    return FullLoad - LengthDiscount * double(expectedOutput().value()) / memory;
}

bool RelayRun::tryPlace()
{
    TargetNeed wanted = need();
    if (m_task.engine)
        wanted.readable = readable();
    const TargetPick pick =
        chooseTarget(m_context.targets.takingWork(m_task.service), wanted, m_context.timers.now());
    const bool isFull = m_task.engine && pick.load > mostLoad();
    if (!pick.target || isFull)
        return false;
    if (reservesRoom())
        reserve(pick);
    else
        send(*pick.target, pick.load);
    return true;
}

bool RelayRun::reservesRoom() const
{
    return m_task.engine && m_task.engine->maxReservation.count() > 0;
}

void RelayRun::reserve(const TargetPick &pick)
{
    m_phase = Phase::Reserving;
    m_waitTimer.reset();
    m_reservationLoad = pick.load;
    // Counted from now on, so that the next request of this daemon goes to another.
    occupy(pick.target->entry.id);
    const Tokens output(qint64(ReservedOutputPart * double(expectedOutput().value())));
    m_reservation = std::make_unique<RoomReservation>(
        m_context, pick.target->entry, m_task.request.promptTokens + output,
        std::min(ReservationHolds, m_task.engine->maxReservation),
        [this](const ReservationOutcome &outcome) {
            const auto self = shared_from_this();
            reservationEnded(outcome);
        });
}

void RelayRun::reservationEnded(const ReservationOutcome &outcome)
{
    const TargetRecord *record = m_context.targets.find(m_target);
    const bool isGranted = outcome.kind == ReservationOutcome::Kind::Granted;
    if (isGranted && record && m_context.targets.takesWork(m_target)) {
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
        m_context.targets.markLeaving(target, "another target has its address");
        break;
    case ReservationOutcome::Kind::Unknown:
        m_excluded.insert(target);
        m_context.targets.recordFailure(target, "no answer to a reservation");
        break;
    }
    if (!tryPlace())
        waitForRoom();
}

Milliseconds RelayRun::waitLimit() const
{
    if (m_task.engine) {
        // Once it cannot begin on time any more its caller does better to come back: here it
        // would wait behind all that still can, and be lost if this daemon ends.
        const Milliseconds onTime = m_task.route.objective - readingTime();
        return onTime.count() > 0
            ? onTime
            : std::min(OverduePatience,
                       std::chrono::duration_cast<Milliseconds>(WaitPartOfTime * patience()));
    }
    return std::chrono::duration_cast<Milliseconds>(WaitPart * m_task.route.objective);
}

void RelayRun::waitForRoom()
{
    // The operator decides when that ends; waiting out the caller's time would not help it.
    if (m_context.targets.isEvacuated(m_task.service)) {
        fail(ErrorKind::NoTarget, QStringLiteral("the data centres of all targets are evacuated"));
        return;
    }
    m_phase = Phase::Waiting;
    logEvent(LogLevel::Info, EventId::RelayWaiting,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"targets", QString::number(m_context.targets.count(m_task.service))}});
    m_context.waiting.add(shared_from_this());
    const auto until = m_task.arrived + waitLimit();
    const auto left = std::chrono::duration_cast<Milliseconds>(until - m_context.timers.now());
    m_waitTimer = m_context.timers.after(std::clamp(left, Milliseconds(0), timeLeft()), [this] {
        const auto self = shared_from_this();
        waitedTooLong();
    });
}

void RelayRun::waitedTooLong()
{
    if (m_phase != Phase::Waiting)
        return;
    // What a target answered says more than that no other one has room.
    if (m_fallback)
        answered(*m_fallback);
    else
        fail(ErrorKind::NoTarget, QStringLiteral("no target has room for the request"));
}

void RelayRun::extendForecast()
{
    // An answer that is longer than expected goes on for about as long again as it is over.
    if (!m_task.engine || m_target.isEmpty())
        return;
    const Tokens made(m_lastEvent * m_task.engine->tokensPerEvent);
    const Tokens held = m_task.request.promptTokens + made;
    if (held <= m_reserved)
        return;
    const Tokens most = m_task.request.promptTokens + m_task.request.mostOutput;
    const Tokens wanted = std::min(held + ForecastStep, std::max(most, held));
    m_context.targets.tokensAdded(m_target, wanted - m_reserved);
    m_reserved = wanted;
}

} // namespace cranberry
