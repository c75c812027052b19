#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AttemptPlan.h"
#include "relay/CrashGuard.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/GenerationStops.h"
#include "relay/OutputForecast.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/RelayContext.h"
#include "relay/RoomReservation.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetPlace.h"

namespace cranberry {

namespace {

/// Maximum load of an engine that holds a backup; the generations that run there still grow.
constexpr double MaxBackupLoad = 0.75;
/// Maximum mean load of all engines, excluding backups, at which backups are made. Backups double
/// the memory of a generation; when engines fill up, a backup delays or stops another answer.
constexpr double MaxMeanLoad = 0.5;
/// Maximum fraction of the memory of an engine that a generation with a backup may occupy according
/// to its forecast. Engines with room for few answers fill up within seconds, and earlier backups
/// would take the room of later answers.
constexpr double MaxEngineFraction = 0.14;
/// The first part of a copy is sent within this time after the first event; until then the holder
/// refuses to take over.
constexpr Milliseconds BackupReadyDelay{400};
/// The attempt at the first engine is closed this long after the holder of the backup was asked to
/// take over, even if it has not answered: two engines must not generate the same answer for longer
/// than 400 ms.
constexpr Milliseconds MaxOverlap{250};
/// An engine that has become unreachable does not close its connections. Events arrive every 34 ms
/// (8.5 ms per token, four tokens per event), and a stream with a pause this long is already late.
constexpr Milliseconds SilenceTimeout{700};

} // namespace

bool RelayRun::wantsBackup() const
{
    if (!m_task.engine || !m_task.engine->canBackUp || !isStream())
        return false;
    const double maxTokens = MaxEngineFraction * double(m_task.engine->memory.value());
    return m_expectedOutput > ShortOutputLimit && double(expectedTokens().value()) <= maxTokens;
}

std::unique_ptr<GenerationBackup> RelayRun::chooseBackup(AttemptPlan &plan)
{
    if (!wantsBackup())
        return nullptr;
    const TargetRecord *runner = m_context.targets.find(plan.target);
    TargetNeed wanted = need();
    wanted.excluded.insert(plan.target);
    if (runner)
        wanted.dataCentre = runner->entry.dataCentre;
    const QList<const TargetRecord *> targets = m_context.targets.takingWork(m_task.service);
    const MonotonicTime now = m_context.timers.now();
    if (meanLoad(targets, *m_task.engine, now) > MaxMeanLoad)
        return nullptr;
    const TargetPick pick = chooseTarget(targets, wanted, now);
    if (!pick.target || pick.load > MaxBackupLoad)
        return nullptr;
    const TargetId holder = pick.target->entry.id;
    auto backup = std::make_unique<GenerationBackup>(m_context.targets, holder, expectedTokens());
    plan.backup = backup->endpoint();
    logEvent(LogLevel::Info, EventId::BackupChosen,
             {{"request", m_task.request.id.text()},
              {"target", plan.target.text()},
              {"holder", holder.text()},
              {"load", QString::number(pick.load, 'f', 2)}});
    return backup;
}

bool RelayRun::hasUsableBackup() const
{
    return m_backup && m_backup->isUsable() && hasBegun()
        && m_context.availability.mayCall(m_backup->holder(), CallPurpose::Continuation)
        && m_context.timers.now() - m_firstEventAt >= BackupReadyDelay;
}

void RelayRun::checkSilence()
{
    if (!isGenerating() || m_move || !hasUsableBackup())
        return;
    if (m_context.timers.now() - m_lastEventAt >= SilenceTimeout)
        tryTakeOver("silent");
}

bool RelayRun::tryTakeOver(const char *reason)
{
    if (!hasUsableBackup() || m_takeover
        || !m_context.crashGuard.mayContinue(m_task.subject.request.fingerprint))
        return false;
    if (!takeRetry("takeover", RetryPurpose::Continuation))
        return false;
    m_retryUnit.reset();
    // The end of the move would replace the backup while the takeover is in progress.
    abandonMove();
    // An order to stop the generation there must not meet it when it is back.
    m_excluded.insert(m_target);
    m_takeoverReason = reason;
    m_takeoverAskedAt = m_context.timers.now();
    AttemptPlan plan;
    plan.target = m_backup->holder();
    plan.workspace = m_task.workspace;
    plan.timeLeft = timeLeft();
    plan.resumeFrom = CopyReference{m_backup->endpoint(), m_task.request.id.text().toLatin1()};
    plan.lastEvent = m_lastEvent;
    m_nextBackup = chooseBackup(plan);
    logEvent(LogLevel::Info, EventId::TakeoverBegun,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"holder", plan.target.text()},
              {"reason", QLatin1String(reason)},
              {"events", QString::number(m_lastEvent)}});
    ++m_sends;
    // The generation has begun, so that its prompt is not the reason if its target crashes.
    m_monitoredTakeover =
        m_context.crashGuard.attempts().started({m_task.subject.request, {}}, plan.target, {});
    m_takeover = std::make_unique<RelayAttempt>(m_context, m_task.request, m_backup->endpoint(),
                                                plan, Milliseconds(0), takeoverCallbacks());
    m_takeoverTimer = m_context.timers.after(MaxOverlap, [this] { endOverlap(); });
    return true;
}

RelayAttemptCallbacks RelayRun::takeoverCallbacks()
{
    // Once the takeover has begun it is the attempt of this run, and another takeover may follow.
    const auto hasBegun = std::make_shared<bool>(false);
    RelayAttemptCallbacks callbacks;
    callbacks.began = [this, hasBegun](const AnswerHead &) {
        const auto self = shared_from_this();
        *hasBegun = true;
        takeoverBegan();
    };
    callbacks.event = [this](const ServerSentEvent &event) {
        const auto self = shared_from_this();
        eventReceived(event);
    };
    callbacks.ended = [this, hasBegun](const SendResult &result) {
        const auto self = shared_from_this();
        *hasBegun ? attemptEnded(result) : takeoverEnded(result);
    };
    return callbacks;
}

bool RelayRun::continueAtBackup(const SendResult &result)
{
    if (isWholeStream(result))
        return false;
    const bool isBroken = result.kind == SendResult::Kind::Broken;
    if (!m_takeover && !(isBroken && tryTakeOver("broken")))
        return false;
    m_deferredResult = result;
    return true;
}

void RelayRun::endOverlap()
{
    if (m_deferredResult)
        return;
    SendResult ended;
    ended.reason = QStringLiteral("closed after the takeover started");
    m_deferredResult = ended;
    m_attempt.reset();
    // The holder may have continued the generation without an answer.
    stopAtTarget();
}

void RelayRun::stopAtTarget()
{
    if (std::exchange(m_isBeingStopped, true))
        return;
    m_context.stops.begin({m_task.request.id, m_target, m_endpoint, m_backup->endpoint(),
                           m_takeoverReason, m_takeoverAskedAt, timeoutAt()});
}

void RelayRun::stopAtHolder()
{
    m_excluded.insert(m_backup->holder());
    m_context.stops.begin({m_task.request.id, m_backup->holder(), m_backup->endpoint(), m_endpoint,
                           "takeover failed", m_takeoverAskedAt, timeoutAt()});
}

void RelayRun::takeoverBegan()
{
    logTakeover("taken over", 0);
    m_attempt.reset();
    stopAtTarget();
    // Keeps the record of the holder until the generation is counted there.
    const auto backup = std::exchange(m_backup, std::move(m_nextBackup));
    const TargetId holder = backup->holder();
    ++m_moves;
    ++m_context.counters.movesDone;
    m_isFirstSinceMove = true;
    m_deferredResult.reset();
    m_takeoverTimer.reset();
    m_moveTimer.reset();
    leaveTarget();
    m_phase = Phase::Sent;
    m_endpoint = backup->endpoint();
    occupy(holder);
    m_attemptEnd = RelayAttemptEnd::Unexplained;
    m_monitored = std::exchange(m_monitoredTakeover, 0);
    m_attempt = std::move(m_takeover);
    const TargetRecord *record = m_context.targets.find(holder);
    if (record && record->isLeaving)
        targetLeaving(holder, Milliseconds(0));
}

void RelayRun::takeoverEnded(const SendResult &result)
{
    logTakeover(sendResultName(result.kind), result.head.status);
    endTakeover(attemptEndOf(result));
    const auto attempt = std::move(m_takeover);
    m_takeoverTimer.reset();
    if (ranAfter(result.kind) != Ran::No)
        stopAtHolder();
    m_backup.reset();
    m_nextBackup.reset();
    const TargetRecord *record = m_context.targets.find(m_target);
    if (const auto ended = std::exchange(m_deferredResult, std::nullopt))
        attemptEnded(*ended);
    else if (record && record->isLeaving)
        targetLeaving(m_target, Milliseconds(0));
}

void RelayRun::logTakeover(const char *outcome, int status) const
{
    logEvent(LogLevel::Info, EventId::TakeoverEnded,
             {{"request", m_task.request.id.text()},
              {"holder", m_backup->holder().text()},
              {"outcome", QLatin1String(outcome)},
              {"status", QString::number(status)},
              {"events", QString::number(m_lastEvent)}});
}

} // namespace cranberry
