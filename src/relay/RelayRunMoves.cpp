// The part of RelayRun that moves a generation from one engine to another.
#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/AttemptPlan.h"
#include "relay/EngineReports.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/MoveChoice.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayContext.h"
#include "relay/ReservationOutcome.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetPlace.h"

namespace cranberry {

namespace {

/// A move that found no room is tried again after this time.
constexpr Milliseconds MoveAgainAfter{100};
/// A destination without room answers at once; another one may have room.
constexpr Milliseconds AnotherDestinationAfter{5};
/// A report that is newer tells why a destination refused.
constexpr Milliseconds RefusalReportFreshFor{250};
/// An engine may go later than the least notice says.
constexpr Milliseconds TryBeyondNotice{700};

} // namespace

void RelayRun::targetLeaving(const TargetId &target, Milliseconds delay)
{
    if (m_moveTimer)
        return;
    m_moveTimer = m_context.timers.after(delay, [this, target] {
        const auto self = shared_from_this();
        m_moveTimer.reset();
        moveFrom(target);
    });
}

void RelayRun::moveFrom(const TargetId &target)
{
    const bool canMove = m_task.engine && m_task.engine->canMove && isStream();
    const bool isThere = m_phase == Phase::Sent && m_target == target;
    if (!isThere || m_move || m_takeover || takeOver("leaving"))
        return;
    if (canMove)
        beginMove();
}

void RelayRun::targetLost(const TargetId &target)
{
    if (m_move && m_moveDestination == target)
        m_isDestinationLost = true;
    if (m_takeover && m_backup->holder() == target) {
        takeoverEnded(SendResult());
        return;
    }
    if (m_target != target)
        return;
    if (m_phase == Phase::Reserving) {
        reservationEnded(ReservationOutcome());
        return;
    }
    // While its generation is being moved, the order's answer tells what became of it.
    if (m_phase != Phase::Sent)
        return;
    // Its connection may be behind a cut and would stay silent until the deadline.
    SendResult lost;
    lost.reason = QStringLiteral("the target started again");
    attemptEnded(lost);
}

Tokens RelayRun::heldTokens() const
{
    const qint64 made = m_task.engine ? m_lastEvent * m_task.engine->tokensPerEvent : 0;
    return m_task.request.promptTokens + Tokens(made);
}

double RelayRun::movePriority() const
{
    const TargetRecord *source = m_context.targets.find(m_target);
    if (!source)
        return 0;
    MoveCandidate candidate;
    candidate.prompt = m_task.request.promptTokens;
    candidate.made = heldTokens() - candidate.prompt;
    // One that has outgrown its forecast goes on for as long as it has by the next step of it.
    candidate.left = m_reserved - heldTokens();
    candidate.notice =
        std::chrono::duration_cast<Milliseconds>(source->leavesAt - m_context.timers.now());
    return cranberry::movePriority(candidate);
}

void RelayRun::beginMove()
{
    const TargetRecord *source = m_context.targets.find(m_target);
    if (!source) {
        moveLater(QStringLiteral("the source is not known"), MoveAgainAfter);
        return;
    }
    TargetNeed wanted = need();
    wanted.excluded.insert(m_target);
    if (!m_avoidedDestination.isEmpty())
        wanted.excluded.insert(m_avoidedDestination);
    wanted.dataCentre = source->entry.dataCentre;
    const MoveNeed move{wanted, heldTokens(), source->linkFreeAt};
    const MovePick pick = chooseDestination(m_context.targets.takingWork(m_task.service), move,
                                            m_context.timers.now());
    const bool comesTooLate =
        pick.target && !isBegunNow(pick.copied, source->leavesAt, m_context.timers.now());
    if (!pick.target || comesTooLate) {
        m_moveDestination = TargetId();
        moveLater(comesTooLate ? QStringLiteral("the links are taken")
                               : QStringLiteral("no destination"),
                  MoveAgainAfter);
        return;
    }
    ++m_context.counters.movesBegun;
    m_moveDestination = pick.target->entry.id;
    m_isDestinationLost = false;
    m_moveDestinationEndpoint = pick.target->entry.endpoint;
    m_destinationPlace =
        std::make_unique<TargetPlace>(m_context.targets, m_moveDestination, expectedTokens());
    m_copyTime = pick.copyTime;
    m_context.news.copyOrdered(m_target, m_moveDestination, m_copyTime);
    const auto expected =
        std::chrono::duration_cast<Milliseconds>(pick.copied - m_context.timers.now());
    logEvent(LogLevel::Info, EventId::MoveBegun,
             {{"request", m_task.request.id.text()},
              {"source", m_target.text()},
              {"destination", m_moveDestination.text()},
              {"load", QString::number(pick.load, 'f', 2)},
              {"held", QString::number(heldTokens().value())},
              {"expected_ms", QString::number(expected.count())},
              {"events", QString::number(m_lastEvent)}});
    GenerationMove::Callbacks callbacks;
    callbacks.stopping = [this] {
        if (m_phase != Phase::Sent || m_isDestinationLost
            || !m_context.targets.takesWork(m_moveDestination)
            || !m_context.retries.take(m_task.service, m_context.timers.now(), 0))
            return false;
        m_phase = Phase::Moving;
        return true;
    };
    callbacks.ended = [this](const MoveOutcome &outcome, bool stopped) {
        const auto self = shared_from_this();
        moveEnded(outcome, stopped);
    };
    m_move =
        std::make_unique<GenerationMove>(m_context, m_task.request.id, m_endpoint,
                                         m_moveDestinationEndpoint, m_target, std::move(callbacks));
}

void RelayRun::moveEnded(const MoveOutcome &outcome, bool stopped)
{
    if (m_phase == Phase::Over)
        return;
    logEvent(LogLevel::Info, EventId::MoveEnded,
             {{"request", m_task.request.id.text()},
              {"outcome", QLatin1String(moveOutcomeName(outcome.kind))},
              {"status", QString::number(outcome.status)},
              {"stopped", stopped ? QStringLiteral("yes") : QStringLiteral("no")},
              {"destination", m_moveDestination.text()},
              {"rounds", QString::number(outcome.rounds)},
              {"first_round_ms", QString::number(outcome.firstRound.count())},
              {"events", QString::number(m_lastEvent)}});
    if (!stopped) {
        ++m_context.counters.movesFailed;
        abandonMove();
        if (outcome.kind == MoveOutcome::Kind::NoRoom)
            refusedBy(m_moveDestination);
        if (outcome.rounds == 1 && outcome.kind != MoveOutcome::Kind::Copied)
            m_context.news.copyRefused(m_target, m_moveDestination, m_copyTime);
        // A run that was not found has ended, or has not begun.
        if (outcome.kind != MoveOutcome::Kind::NoSuchRun || !hasBegun())
            moveLater(QStringLiteral("not copied"),
                      outcome.kind == MoveOutcome::Kind::NoRoom ? AnotherDestinationAfter
                                                                : MoveAgainAfter);
        return;
    }
    // Its record is needed until the generation is counted there.
    const auto place = std::move(m_destinationPlace);
    const CopyReference copy{m_endpoint, outcome.handle};
    const bool isHeld = !copy.handle.isEmpty();
    const bool isCopied = outcome.kind == MoveOutcome::Kind::Copied;
    if (isCopied && isHeld && !m_isDestinationLost) {
        resume(m_moveDestinationEndpoint, m_moveDestination, copy);
    } else if (isHeld && (isCopied || outcome.kind == MoveOutcome::Kind::NoRoom)) {
        // The generation is stopped and only its source has it.
        resumeAtSource(copy);
    } else {
        // It had ended, or the order was not heard: the stream itself tells.
        m_phase = Phase::Sent;
        ++m_context.counters.movesFailed;
        m_move.reset();
        if (const auto ended = std::exchange(m_endedWhileMoving, std::nullopt))
            attemptEnded(*ended);
    }
}

void RelayRun::abandonMove()
{
    m_move.reset();
    m_destinationPlace.reset();
}

void RelayRun::resumeAtSource(const CopyReference &copy)
{
    // Without another request its record would end with an entry that has ended.
    const TargetPlace place(m_context.targets, m_target, Tokens(0));
    const TargetRecord *source = m_context.targets.find(m_target);
    // Going on there would be new work for a data centre that is to get none.
    if (source && m_context.targets.isEvacuated(source->entry.dataCentre))
        streamLost(QStringLiteral("no copy elsewhere, and the data centre is evacuated"));
    else
        resume(m_endpoint, m_target, copy);
}

void RelayRun::refusedBy(const TargetId &destination)
{
    m_context.targets.markFull(destination);
    if (m_context.hearsOfTargets())
        return;
    // While nobody tells which targets leave, one that refuses may be about to go, or gone: all
    // choose it, as it looks empty.
    m_context.reports.refresh(
        {destination}, RefusalReportFreshFor, [&context = m_context, destination] {
            const TargetRecord *record = context.targets.find(destination);
            const bool isSilent =
                record && context.timers.now() - record->reportedAt > RefusalReportFreshFor;
            if (isSilent)
                context.targets.recordFailure(destination, "refused a copy and gave no report");
        });
}

void RelayRun::moveLater(const QString &reason, Milliseconds wait)
{
    const TargetRecord *record = m_context.targets.find(m_target);
    const bool isTime = record && m_context.timers.now() < record->leavesAt + TryBeyondNotice;
    logEvent(isTime ? LogLevel::Info : LogLevel::Warning, EventId::MoveFailed,
             {{"request", m_task.request.id.text()},
              {"source", m_target.text()},
              {"reason", reason},
              {"again", isTime ? QStringLiteral("yes") : QStringLiteral("no")}});
    if (!isTime)
        return;
    // Another destination may have room, and one that had none may have it then.
    m_avoidedDestination = m_moveDestination;
    m_moveTimer.reset();
    targetLeaving(m_target, wait);
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): leaveTarget() clears what it may refer to.
void RelayRun::resume(const HttpEndpoint &holder, TargetId holderId, const CopyReference &copy)
{
    const bool done = holderId != m_target;
    ++m_moves;
    m_isFirstSinceMove = true;
    m_endedWhileMoving.reset();
    leaveTarget();
    AttemptPlan plan;
    plan.target = holderId;
    plan.workspace = m_task.workspace;
    plan.timeLeft = timeLeft();
    plan.from = copy;
    plan.lastEvent = m_lastEvent;
    m_backup = chooseBackup(plan);
    open(holderId, holder, plan);
    done ? ++m_context.counters.movesDone : ++m_context.counters.movesFailed;
    m_move.reset();
    // The destination may have been told to leave meanwhile.
    const TargetRecord *record = m_context.targets.find(holderId);
    if (done && record && record->isLeaving)
        targetLeaving(holderId, Milliseconds(0));
}

void RelayRun::streamLost(const QString &reason)
{
    ++m_context.counters.streamsLost;
    logEvent(LogLevel::Warning, EventId::StreamLost,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"events", QString::number(m_lastEvent)},
              {"reason", reason}});
    fail(ErrorKind::GenerationLost, QStringLiteral("the generation was lost"));
}

} // namespace cranberry
