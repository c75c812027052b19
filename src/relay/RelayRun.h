// Defines RelayRun, one caller's request on its way through targets to its answer.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "quarantine/RequestFingerprint.h"
#include "relay/EngineTraits.h"
#include "relay/RelayRequest.h"
#include "relay/RelayRoute.h"
#include "relay/SendResult.h"
#include "relay/TargetChoice.h"

#include <QSet>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class CallerReply;
class GenerationBackup;
class GenerationMove;
class RelayAttempt;
enum class AttemptFate;
class RoomReservation;
class TargetPlace;
class TimerSubscription;
struct AttemptPlan;
struct CopyReference;
struct MoveOutcome;
struct RelayContext;
struct RelayAttemptCallbacks;
struct ReservationOutcome;
struct ServerSentEvent;

/// What was decided about a request before it needs a target.
struct RelayTask {
    RelayRequest request;
    RelayRoute route;
    ServiceId service;
    std::optional<EngineTraits> engine;
    WorkspaceId workspace;
    RequestFingerprint fingerprint;
    MonotonicTime arrived;
};

/// Finds a target, sends, judges what came of it, and either answers the caller or tries again
/// as far as the request's kind allows. "Has not run" is said only if each send was one by which
/// nothing can have run: none of its bytes left or the target itself said so.
/// Thread safety: only from the thread of the event loop.
class RelayRun : public std::enable_shared_from_this<RelayRun>
{
public:
    using Ended = std::function<void(const RelayRun *run)>;

    /// Precondition: @p context outlives the run; the run is held by a shared pointer.
    RelayRun(RelayContext &context, RelayTask task, std::shared_ptr<CallerReply> reply,
             Ended ended);
    ~RelayRun();

    void start();
    /// It has no target and waits for one.
    bool isWaiting() const { return m_phase == Phase::Waiting; }
    /// A stream of it runs at target().
    bool isGenerating() const { return m_phase == Phase::Sent && isStream(); }
    const TargetId &target() const { return m_target; }
    /// Sends it if a target can take it; false if it still waits.
    bool tryPlace();
    /// It can no longer be answered on time.
    bool isOverdue() const;
    int priority() const { return m_task.route.priority; }
    MonotonicTime arrived() const { return m_task.arrived; }
    /// The output that its caller or its route lets expect.
    Tokens expectedOutput() const { return m_expectedOutput; }
    bool isGeneratingAt(const TargetId &target) const
    {
        return m_target == target && isGenerating();
    }
    /// The target is about to go; a generation there moves on, after @p delay.
    void targetLeaving(const TargetId &target, Milliseconds delay);
    /// The target has ended, and with it what it ran.
    void targetLost(const TargetId &target);
    /// Goes on from its backup if its engine has fallen silent.
    void checkSilence();
    /// How early it is copied if its target leaves; see movePriority().
    double movePriority() const;

private:
    enum class Phase {
        Placing,
        Waiting,
        /// An engine was asked for room.
        Reserving,
        Sent,
        /// The generation was stopped at its target and is on the way to another.
        Moving,
        Over,
    };

    bool isStream() const { return m_task.route.kind == RequestKind::Stream; }
    bool hasBegun() const { return m_lastEvent > 0; }
    /// The time that the caller and the route give it, from its arrival.
    Milliseconds patience() const;
    Milliseconds timeLeft() const;
    Tokens expectedTokens() const;
    /// In memory at its target, once its prompt is read.
    Tokens heldTokens() const;
    TargetNeed need() const;
    double mostLoad() const;
    Tokens readable() const;
    Milliseconds waitLimit() const;
    /// How long an engine takes to read its prompt.
    Milliseconds readingTime() const;
    /// When a caller is to come back whose request found no room.
    Milliseconds comeBack() const;

    void place();
    void waitForRoom();
    void waitedTooLong();
    bool reservesRoom() const;
    void reserve(const TargetPick &pick);
    void reservationEnded(const ReservationOutcome &outcome);
    void send(const TargetRecord &record, double load);
    void occupy(const TargetId &target);
    void open(const TargetId &target, const HttpEndpoint &endpoint, const AttemptPlan &plan);
    void leaveTarget();
    void promptWasRead();
    void extendForecast();
    void notePause();
    void eventCame(const ServerSentEvent &event);
    void attemptEnded(const SendResult &result);
    void judgeTarget(const SendResult &result);
    bool mayTryAgain(const SendResult &result) const;
    bool tryAgain(const SendResult &result);
    void answered(const SendResult &result);
    void silentTooLong();
    void deadlinePassed();
    void callerGone();

    void moveFrom(const TargetId &target);
    void beginMove();
    bool backsUp() const;
    std::unique_ptr<GenerationBackup> chooseBackup(AttemptPlan &plan);
    bool hasBackup() const;
    bool takeOver(const char *reason);
    RelayAttemptCallbacks takeoverCallbacks();
    /// A generation whose attempt ended goes on at its backup's holder; how it ended counts only if
    /// that fails.
    bool goesOnAtBackup(const SendResult &result);
    void endOverlap();
    void takeoverBegan();
    void takeoverEnded(const SendResult &result);
    void logTakeover(const char *outcome, int status) const;
    void refusedBy(const TargetId &destination);
    void moveLater(const QString &reason, Milliseconds wait);
    /// Ends a copy that is under way. Precondition: it has not stopped the generation, or the run
    /// ends.
    void abandonMove();
    void moveEnded(const MoveOutcome &outcome, bool stopped);
    void resumeAtSource(const CopyReference &copy);
    /// @p holderId may be target(), which changes meanwhile.
    void resume(const HttpEndpoint &holder, TargetId holderId, const CopyReference &copy);
    void streamLost(const QString &reason);

    void succeed();
    void fail(ErrorKind kind, const QString &detail);
    void over(const char *outcome);
    qint64 firstEventMilliseconds() const;

    RelayContext &m_context;
    const RelayTask m_task;
    const std::shared_ptr<CallerReply> m_reply;
    Ended m_ended;
    const MonotonicTime m_deadline;
    const Tokens m_expectedOutput;

    Phase m_phase = Phase::Placing;
    /// What the sends so far leave behind; it never becomes less.
    Ran m_ran = Ran::No;
    int m_sends = 0;
    /// Sends after which the request may have run.
    int m_runs = 0;
    QSet<TargetId> m_excluded;
    TargetId m_target;
    HttpEndpoint m_endpoint;
    Tokens m_reserved;
    MonotonicTime m_occupiedAt;
    /// Of the prompt, as long as the target has not shown that it read it.
    Tokens m_unread;
    std::unique_ptr<RoomReservation> m_reservation;
    double m_reservationLoad = 0;
    std::unique_ptr<GenerationBackup> m_backup;
    /// Asks the backup's holder to go on, while the first engine still may.
    std::unique_ptr<RelayAttempt> m_takeover;
    /// Of the generation at the backup's holder, once it is there.
    std::unique_ptr<GenerationBackup> m_nextBackup;
    std::unique_ptr<TimerSubscription> m_takeoverTimer;
    std::unique_ptr<RelayAttempt> m_attempt;
    AttemptFate m_fate{};
    /// A target's failure answer, which goes to the caller if no further try succeeds.
    std::optional<SendResult> m_fallback;
    AnswerHead m_streamHead;
    bool m_streamOpen = false;
    qint64 m_lastEvent = 0;
    MonotonicTime m_firstEventAt;
    MonotonicTime m_lastEventAt;
    Milliseconds m_longestPause{0};
    /// Told to a caller that was refused.
    Milliseconds m_comeBack{0};
    /// Made while the stream was moved.
    Milliseconds m_movePause{0};
    int m_moves = 0;
    /// The next event is the first one from another engine.
    bool m_isFirstSinceMove = false;

    std::unique_ptr<GenerationMove> m_move;
    TargetId m_moveDestination;
    /// There, so that the next move spreads to another destination.
    std::unique_ptr<TargetPlace> m_destinationPlace;
    /// What the copy takes of both links.
    Milliseconds m_copyTime{0};
    HttpEndpoint m_moveDestinationEndpoint;
    /// It has ended since, and a copy there with it.
    bool m_isDestinationLost = false;
    /// The stream ended while its generation was being stopped; the move's answer says how.
    std::optional<SendResult> m_endedWhileMoving;
    /// It had no room for the last try.
    TargetId m_avoidedDestination;
    std::unique_ptr<TimerSubscription> m_moveTimer;

    std::unique_ptr<TimerSubscription> m_deadlineTimer;
    std::unique_ptr<TimerSubscription> m_waitTimer;
    std::unique_ptr<TimerSubscription> m_silenceTimer;
};

} // namespace cranberry
