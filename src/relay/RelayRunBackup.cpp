// The part of RelayRun that keeps a backup of a generation and goes on from it.
#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AttemptPlan.h"
#include "relay/CrashGuard.h"
#include "relay/GenerationBackup.h"
#include "relay/GenerationMove.h"
#include "relay/OutputForecast.h"
#include "relay/RelayAttempt.h"
#include "relay/RelayContext.h"
#include "relay/RoomReservation.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetPlace.h"

namespace cranberry {

namespace {

/// Load up to which an engine keeps backups, as the generations that run there will still grow.
constexpr double MostBackupLoad = 0.75;
/// Mean load of all engines by running generations up to which there are backups. They take as
/// much memory again, and where engines fill up a backup delays or stops another answer.
constexpr double MostMeanLoad = 0.5;
/// Part of an engine's memory that a generation with a backup may take by the forecast. Engines
/// with room for few answers fill up within seconds, and backups chosen before would take the
/// room of answers to come.
constexpr double MostPartOfEngine = 0.14;
/// The first part of a copy is sent within this time from the first event; before it the holder
/// refuses to take over.
constexpr Milliseconds BackupArrives{400};
/// The first engine is given up this long after its backup's holder was asked, answered or not: two
/// engines may not work on one generation for longer than 400 ms.
constexpr Milliseconds Overlap{250};
/// An engine that has gone dark closes nothing. Events come each 34 ms (8.5 ms a token, four tokens
/// an event), and a stream with a pause this long is late already.
constexpr Milliseconds SilentAfter{700};

} // namespace

bool RelayRun::backsUp() const
{
    if (!m_task.engine || !m_task.engine->canBackUp || !isStream())
        return false;
    const double most = MostPartOfEngine * double(m_task.engine->memory.value());
    return expectedOutput() > BriefOutput && double(expectedTokens().value()) <= most;
}

std::unique_ptr<GenerationBackup> RelayRun::chooseBackup(AttemptPlan &plan)
{
    if (!backsUp())
        return nullptr;
    const TargetRecord *runner = m_context.targets.find(plan.target);
    TargetNeed wanted = need();
    wanted.excluded.insert(plan.target);
    if (runner)
        wanted.dataCentre = runner->entry.dataCentre;
    const QList<const TargetRecord *> targets = m_context.targets.takingWork(m_task.service);
    const MonotonicTime now = m_context.timers.now();
    if (meanLoad(targets, *m_task.engine, now) > MostMeanLoad)
        return nullptr;
    const TargetPick pick = chooseTarget(targets, wanted, now);
    if (!pick.target || pick.load > MostBackupLoad)
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

bool RelayRun::hasBackup() const
{
    return m_backup && m_backup->isUsable() && hasBegun()
        && m_context.timers.now() - m_firstEventAt >= BackupArrives;
}

void RelayRun::checkSilence()
{
    if (!isGenerating() || m_move || !hasBackup())
        return;
    if (m_context.timers.now() - m_lastEventAt >= SilentAfter)
        takeOver("silent");
}

bool RelayRun::takeOver(const char *reason)
{
    if (!hasBackup() || m_takeover || m_context.crashes.isHeldBack(m_task.fingerprint))
        return false;
    if (!m_context.retries.take(m_task.service, m_context.timers.now(), 0))
        return false;
    // Its answer would change the backup while the holder is asked.
    abandonMove();
    AttemptPlan plan;
    plan.target = m_backup->holder();
    plan.workspace = m_task.workspace;
    plan.timeLeft = timeLeft();
    plan.from = CopyReference{m_backup->endpoint(), m_task.request.id.text().toLatin1()};
    plan.lastEvent = m_lastEvent;
    m_nextBackup = chooseBackup(plan);
    logEvent(LogLevel::Info, EventId::TakeoverBegun,
             {{"request", m_task.request.id.text()},
              {"target", m_target.text()},
              {"holder", plan.target.text()},
              {"reason", QLatin1String(reason)},
              {"events", QString::number(m_lastEvent)}});
    ++m_sends;
    m_takeover = std::make_unique<RelayAttempt>(m_context, m_task.request, m_backup->endpoint(),
                                                plan, Milliseconds(0), takeoverCallbacks());
    m_takeoverTimer = m_context.timers.after(Overlap, [this] { endOverlap(); });
    return true;
}

RelayAttemptCallbacks RelayRun::takeoverCallbacks()
{
    // Once it has begun it is the attempt of this run, and another takeover may follow.
    const auto hasBegun = std::make_shared<bool>(false);
    RelayAttemptCallbacks callbacks;
    callbacks.began = [this, hasBegun](const AnswerHead &) {
        const auto self = shared_from_this();
        *hasBegun = true;
        takeoverBegan();
    };
    callbacks.event = [this](const ServerSentEvent &event) {
        const auto self = shared_from_this();
        eventCame(event);
    };
    callbacks.ended = [this, hasBegun](const SendResult &result) {
        const auto self = shared_from_this();
        *hasBegun ? attemptEnded(result) : takeoverEnded(result);
    };
    return callbacks;
}

bool RelayRun::goesOnAtBackup(const SendResult &result)
{
    const bool isWhole = result.kind == SendResult::Kind::Answered && result.isStream;
    if (isWhole)
        return false;
    const bool isBroken = result.kind == SendResult::Kind::Broken;
    if (!m_takeover && !(isBroken && takeOver("broken")))
        return false;
    m_endedWhileMoving = result;
    return true;
}

void RelayRun::endOverlap()
{
    if (m_endedWhileMoving)
        return;
    SendResult ended;
    ended.reason = QStringLiteral("given up for its backup");
    m_endedWhileMoving = ended;
    m_attempt.reset();
}

void RelayRun::takeoverBegan()
{
    logTakeover("taken over", 0);
    // Keeps the holder's record until the generation is counted there.
    const auto backup = std::exchange(m_backup, std::move(m_nextBackup));
    const TargetId holder = backup->holder();
    ++m_moves;
    ++m_context.counters.movesDone;
    m_isFirstSinceMove = true;
    m_endedWhileMoving.reset();
    m_takeoverTimer.reset();
    m_moveTimer.reset();
    leaveTarget();
    m_phase = Phase::Sent;
    m_endpoint = backup->endpoint();
    occupy(holder);
    m_attempt = std::move(m_takeover);
    const TargetRecord *record = m_context.targets.find(holder);
    if (record && record->isLeaving)
        targetLeaving(holder, Milliseconds(0));
}

void RelayRun::takeoverEnded(const SendResult &result)
{
    logTakeover(sendResultName(result.kind), result.head.status);
    const auto attempt = std::move(m_takeover);
    m_takeoverTimer.reset();
    m_backup.reset();
    m_nextBackup.reset();
    const TargetRecord *record = m_context.targets.find(m_target);
    if (const auto ended = std::exchange(m_endedWhileMoving, std::nullopt))
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
