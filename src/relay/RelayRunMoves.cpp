#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/AttemptPlan.h"
#include "relay/CrashGuard.h"
#include "relay/EngineReports.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/MoveChoice.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/RelayContext.h"
#include "relay/ReservationOutcome.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetPlace.h"

namespace cranberry {

namespace {

/// Retry delay of a move that found no destination with room.
constexpr Milliseconds MoveRetryDelay{100};
/// Retry delay if the destination has no room; it refuses immediately, and another one may have
/// room.
constexpr Milliseconds NextDestinationDelay{5};
/// A report newer than this explains why a destination refused.
constexpr Milliseconds RefusalReportMaxAge{250};
/// Time that an engine may stay beyond its minimum notice period.
constexpr Milliseconds NoticeOverrun{700};

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
    if (!isThere || m_move || m_takeover || tryTakeOver("leaving"))
        return;
    if (canMove && m_context.crashGuard.mayContinue(m_task.subject.request.fingerprint))
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
    // During a move, the answer to the move order determines the result.
    if (m_phase != Phase::Sent)
        return;
    // The connection may be cut off without a reset and would stay silent until the deadline.
    SendResult lost;
    lost.reason = QStringLiteral("the target started again");
    attemptEnded(lost);
}

Tokens RelayRun::heldTokens() const
{
    const qint64 made = m_task.engine ? m_lastEvent * m_task.engine->tokensPerEvent : 0;
    return m_task.request.promptTokens + Tokens(made);
}

double RelayRun::movePriority(MonotonicTime now) const
{
    const TargetRecord *source = m_context.targets.find(m_target);
    if (!source)
        return 0;
    MoveCandidate candidate;
    candidate.prompt = m_task.request.promptTokens;
    candidate.output = heldTokens() - candidate.prompt;
    // For an answer that exceeded its forecast, the remaining output is the rest of the current
    // forecast step.
    candidate.remaining = m_reserved - heldTokens();
    candidate.notice = std::chrono::duration_cast<Milliseconds>(source->leavesAt - now);
    return cranberry::movePriority(candidate);
}

void RelayRun::beginMove()
{
    const TargetRecord *source = m_context.targets.find(m_target);
    if (!source) {
        moveLater(QStringLiteral("the source is unknown"), MoveRetryDelay);
        return;
    }
    requestPermits(false);
    TargetNeed wanted = need();
    wanted.excluded.insert(m_target);
    if (!m_avoidedDestination.isEmpty())
        wanted.excluded.insert(m_avoidedDestination);
    wanted.dataCentre = source->entry.dataCentre;
    const MoveNeed move{wanted, heldTokens(), source->linkFreeAt};
    const MovePick pick = chooseDestination(m_context.targets.takingWork(m_task.service), move,
                                            m_context.timers.now());
    const bool isTooLate =
        pick.target && !shouldStartCopy(pick.copyDone, source->leavesAt, m_context.timers.now());
    if (!pick.target || isTooLate) {
        m_moveDestination = TargetId();
        moveLater(isTooLate ? QStringLiteral("the copy would not complete in time")
                            : QStringLiteral("no destination has room"),
                  MoveRetryDelay);
        return;
    }
    ++m_context.counters.movesBegun;
    // Without a unit the copy begins all the same, and others may lend one until it is done.
    if (!takeRetry("copy", RetryPurpose::Continuation))
        m_context.retryBudget.expectContinuation(m_task.service, m_context.timers.now());
    m_moveDestination = pick.target->entry.id;
    m_isDestinationLost = false;
    m_moveDestinationEndpoint = pick.target->entry.endpoint;
    m_destinationPlace =
        std::make_unique<TargetPlace>(m_context.targets, m_moveDestination, expectedTokens());
    m_copyTime = pick.copyTime;
    m_context.news.copyOrdered(m_target, m_moveDestination, m_copyTime);
    const auto expected =
        std::chrono::duration_cast<Milliseconds>(pick.copyDone - m_context.timers.now());
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
        const bool takesWork = m_context.targets.takesWork(m_moveDestination)
            && m_context.availability.mayCall(m_moveDestination, CallPurpose::Request);
        if (m_phase != Phase::Sent || m_isDestinationLost || !takesWork || !spendOnMove())
            return false;
        m_phase = Phase::Moving;
        m_mayBeStopped = true;
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

bool RelayRun::spendOnMove()
{
    const auto unit = std::exchange(m_retryUnit, std::nullopt);
    if (unit && m_context.retryBudget.spend(m_task.service, *unit, m_context.timers.now()))
        return true;
    return takeRetry("move", RetryPurpose::Continuation);
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
            destinationRefused(m_moveDestination);
        if (outcome.rounds == 1 && outcome.kind != MoveOutcome::Kind::Copied)
            m_context.news.copyRefused(m_target, m_moveDestination, m_copyTime);
        // A run that was not found has either ended or not started yet.
        if (outcome.kind != MoveOutcome::Kind::NoSuchRun || !hasBegun())
            moveLater(QStringLiteral("the copy failed"),
                      outcome.kind == MoveOutcome::Kind::NoRoom ? NextDestinationDelay
                                                                : MoveRetryDelay);
        return;
    }
    // Keeps the record of the destination until the generation is counted there.
    const auto place = std::move(m_destinationPlace);
    const CopyReference copy{m_endpoint, outcome.handle};
    const bool isHeld = !copy.handle.isEmpty();
    const bool isCopied = outcome.kind == MoveOutcome::Kind::Copied;
    // An engine stops only a generation that has begun, even if no event of it has arrived.
    if (mayHaveStopped(outcome.kind))
        m_ran = std::max(m_ran, isHeld ? Ran::Yes : Ran::Maybe);
    if (isCopied && isHeld && !m_isDestinationLost) {
        resume(m_moveDestinationEndpoint, m_moveDestination, copy);
    } else if (isHeld && (isCopied || outcome.kind == MoveOutcome::Kind::NoRoom)) {
        // The generation is stopped, and only its source still holds it.
        resumeAtSource(copy);
    } else {
        // The generation had ended, or the engine may have stopped it.
        m_phase = Phase::Sent;
        m_mayBeStopped = mayHaveStopped(outcome.kind);
        returnRetry();
        ++m_context.counters.movesFailed;
        m_move.reset();
        if (const auto ended = std::exchange(m_deferredResult, std::nullopt))
            attemptEnded(*ended);
    }
}

void RelayRun::abandonMove()
{
    returnRetry();
    m_move.reset();
    m_destinationPlace.reset();
}

void RelayRun::resumeAtSource(const CopyReference &copy)
{
    // Keeps the record of the target, which is dropped when its entry has ended and no request is
    // counted there.
    const TargetPlace place(m_context.targets, m_target, Tokens(0));
    const TargetRecord *source = m_context.targets.find(m_target);
    // Resuming at the source would place new work in a data centre that is being evacuated.
    if (source && m_context.targets.isEvacuated(source->entry.dataCentre))
        failStream(
            QStringLiteral("no other engine holds a copy, and the data centre is evacuated"));
    else
        resume(m_endpoint, m_target, copy);
}

void RelayRun::destinationRefused(const TargetId &destination)
{
    m_context.targets.markFull(destination);
    if (m_context.hasTargetUpdates())
        return;
    // Without updates on leaving targets, a destination that refuses may be about to leave or
    // already gone. Since it looks empty, all requests would keep choosing it.
    m_context.reports.refresh(
        {destination}, RefusalReportMaxAge, [&context = m_context, destination] {
            const TargetRecord *record = context.targets.find(destination);
            // A paused target is not asked for a report.
            const bool isSilent = record && !context.availability.isPaused(destination)
                && context.timers.now() - record->reportedAt > RefusalReportMaxAge;
            if (isSilent)
                context.targets.recordFailure(destination,
                                              "refused a copy and sent no load report");
        });
}

void RelayRun::moveLater(const QString &reason, Milliseconds wait)
{
    const TargetRecord *record = m_context.targets.find(m_target);
    const bool hasTimeLeft = record && m_context.timers.now() < record->leavesAt + NoticeOverrun;
    logEvent(hasTimeLeft ? LogLevel::Info : LogLevel::Warning, EventId::MoveFailed,
             {{"request", m_task.request.id.text()},
              {"source", m_target.text()},
              {"reason", reason},
              {"again", hasTimeLeft ? QStringLiteral("yes") : QStringLiteral("no")}});
    if (!hasTimeLeft)
        return;
    // The next try uses another destination; the one after it may use this destination again.
    m_avoidedDestination = m_moveDestination;
    m_moveTimer.reset();
    targetLeaving(m_target, wait);
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): leaveTarget() clears what it may refer to.
void RelayRun::resume(const HttpEndpoint &holder, TargetId holderId, const CopyReference &copy)
{
    const bool done = holderId != m_target;
    m_retryUnit.reset();
    ++m_moves;
    m_isFirstSinceMove = true;
    m_deferredResult.reset();
    m_attemptEnd = RelayAttemptEnd::Stopped;
    leaveTarget();
    AttemptPlan plan;
    plan.target = holderId;
    plan.workspace = m_task.workspace;
    plan.timeLeft = timeLeft();
    plan.resumeFrom = copy;
    plan.lastEvent = m_lastEvent;
    m_backup = chooseBackup(plan);
    open(holderId, holder, plan);
    done ? ++m_context.counters.movesDone : ++m_context.counters.movesFailed;
    m_move.reset();
    // The destination may have started to leave in the meantime.
    const TargetRecord *record = m_context.targets.find(holderId);
    if (done && record && record->isLeaving)
        targetLeaving(holderId, Milliseconds(0));
}

void RelayRun::failStream(const QString &reason)
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
