#pragma once

#include "admission/FleetDemand.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "quarantine/CrashSubject.h"
#include "quarantine/CrashTrial.h"
#include "relay/EngineTraits.h"
#include "relay/RelayRequest.h"
#include "relay/RelayRoute.h"
#include "relay/RetryAllowance.h"
#include "relay/SendResult.h"
#include "relay/TargetChoice.h"

#include <QSet>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class CallerReply;
struct AdmissionEstimate;
class GenerationBackup;
class GenerationMove;
class ForwardedExchange;
class RelayAttempt;
enum class RelayAttemptEnd;
class CrashHold;
class RoomReservation;
enum class ForwardOutcome;
enum class RetryPurpose;
class TargetPlace;
class TimerSubscription;
struct AttemptPlan;
struct CopyReference;
struct ForwardResult;
struct MoveOutcome;
struct RelayContext;
struct RelayAttemptCallbacks;
struct ReservationOutcome;
struct ServerSentEvent;
struct WaitingRank;

/// A request with its route, before a target is chosen.
struct RelayTask {
    RelayRequest request;
    RelayRoute route;
    ServiceId service;
    std::optional<EngineTraits> engine;
    WorkspaceId workspace;
    CrashSubject subject;
    MonotonicTime arrived;
    /// The daemon that forwarded the request; empty if the caller sent it to this one.
    VmId forwardedBy;
    /// Another daemon counts the request for the retry budget.
    bool isCountedElsewhere = false;
};

/// Processes one caller's request from arrival to answer. Chooses a target, sends the request,
/// evaluates the result, and either answers the caller or retries as the kind of the request
/// permits. Reports that the request has not run only if no attempt can have run it: none of its
/// bytes were sent, or the target said that it did not run it.
/// RelayRunPlacement.cpp decides when and where to send the request, RelayRunAdmission.cpp whether
/// it is rejected as room is not expected in time, RelayRunRetries.cpp evaluates the end of an
/// attempt and decides whether to retry, RelayRunMoves.cpp moves a generation to another engine,
/// RelayRunBackup.cpp keeps a backup of a generation and resumes from it, and RelayRunTrials.cpp
/// keeps it from crashing target after target, and RelayRunForwarding.cpp forwards the request to
/// another daemon if this one cannot reach its service. Thread safety: only from the thread of the
/// event loop.
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
    /// The daemon shuts down: RelayContext::shutdown limits the request from now on.
    void shutdownBegan();
    /// Its stream is being generated at target().
    bool isGenerating() const { return m_phase == Phase::Sent && isStream(); }
    const TargetId &target() const { return m_target; }
    /// Sends it if a target can take it and it is its turn; returns false if it must keep waiting.
    /// @p ownAhead: work of this daemon's requests that goes before it.
    bool tryPlace(const Work &ownAhead);
    /// Rejects it if it is not expected to get room in time; returns false if it can wait.
    bool rejectIfHopeless(const Work &ownAhead);
    const ServiceId &service() const { return m_task.service; }
    /// Its place among the requests of all daemons at @p now.
    Urgency urgency(MonotonicTime now) const;
    /// The room that it takes, and for how long.
    Work work() const;
    /// Whether room is what it waits for, and not a pause, a permit or a reachable target.
    bool waitsForRoom() const { return m_waitsForRoom; }
    /// Rejects it if pauses or rate limits keep it from all its targets until it would give up
    /// waiting; returns false if it can wait.
    bool rejectIfUnavailable();
    /// Its rank among the waiting requests at @p now.
    WaitingRank waitingRank(MonotonicTime now) const;
    bool isGeneratingAt(const TargetId &target) const
    {
        return m_target == target && isGenerating();
    }
    /// The target is about to leave; a generation there is moved after @p delay.
    void targetLeaving(const TargetId &target, Milliseconds delay);
    /// The target has ended, and its requests with it.
    void targetLost(const TargetId &target);
    /// Resumes from the backup if no event has arrived from the engine for too long.
    void checkSilence();
    /// Priority of its copy at @p now if its target leaves; see cranberry::movePriority().
    double movePriority(MonotonicTime now) const;

private:
    enum class Phase {
        Placing,
        Waiting,
        /// Waiting for permission to run, as it may crash its target.
        Held,
        /// Waiting for an engine to grant a reservation.
        Reserving,
        Sent,
        /// The generation is stopped at its target and being moved to another.
        Moving,
        /// Another daemon processes the request.
        Forwarded,
        Over,
    };

    static const char *phaseName(Phase phase);

    bool isStream() const { return m_task.route.kind == RequestKind::Stream; }
    bool hasBegun() const { return m_lastEvent > 0; }
    /// The shorter of the timeouts of the caller and the route, from the arrival.
    Milliseconds timeout() const;
    Milliseconds timeLeft() const;
    /// It can no longer be answered within its objective at @p now.
    bool isOverdue(MonotonicTime now) const;
    Tokens expectedTokens() const;
    /// Tokens in memory at its target once the prompt has been read.
    Tokens heldTokens() const;
    TargetNeed need() const;
    double maxLoad(MonotonicTime now) const;
    Tokens unreadLimit(MonotonicTime now) const;
    Milliseconds waitLimit() const;
    /// Time that an engine takes to read the prompt.
    Milliseconds readingTime() const;
    /// Delay after which a caller that is refused should retry.
    Milliseconds retryAfter() const;

    void place();
    bool tryPlaceOnArrival();
    /// Whether a target of @p targets could take it once it has room.
    bool canUseRoom(const QList<const TargetRecord *> &targets) const;
    quint64 shortFingerprint() const;
    /// Counts the answer by why it was late, and returns the name of the cause.
    const char *countLateness();
    void recordSpeed(const SendResult &result);
    /// Records how long the target took until its answer or first event.
    void recordDuration();
    /// Rejects a request that waits for room. @p estimate: when that is expected.
    void rejectForRoom(const AdmissionEstimate &estimate, Milliseconds limit);
    AdmissionEstimate estimate(const Work &ownAhead, Milliseconds limit) const;
    /// Returns whether the request must not be sent now; it is then rejected, or waits for
    /// permission.
    bool holdBack();
    void holdEnded(bool isAllowed, const QList<CrashTrial> &trials);
    void rejectQuarantined();
    void returnTrials();
    void attemptStarted(const TargetId &target);
    void reportAttemptEnd(RelayAttemptEnd end);
    void endTakeover(RelayAttemptEnd end);
    void waitForRoom();
    void startWaitTimer();
    void waitTimedOut();
    /// Asks for permits for the targets with a rate limit. @p isFirst: the request has not asked
    /// before.
    void requestPermits(bool isFirst);
    /// The targets that may serve the request if all of them have a rate limit; empty if one has
    /// none.
    QList<TargetId> limitedTargets() const;
    bool rejectIfLimited();
    bool rejectIfPaused();
    /// The time until the first of its targets may be tried again if all of them are paused; unset
    /// if one is not.
    std::optional<Milliseconds> untilResumed() const;
    MonotonicTime waitsUntil() const;
    bool reservesRoom(const TargetId &target) const;
    void reserve(const TargetPick &pick);
    void reservationEnded(const ReservationOutcome &outcome);
    void send(const TargetRecord &record, double load);
    void occupy(const TargetId &target);
    void open(const TargetId &target, const HttpEndpoint &endpoint, const AttemptPlan &plan);
    void leaveTarget();
    void recordPromptRead();
    void extendForecast();
    void recordPause();
    void eventReceived(const ServerSentEvent &event);
    void attemptEnded(const SendResult &received);
    void updateTargetHealth(const SendResult &result);
    bool canRetry(const SendResult &result) const;
    bool tryRetry(const SendResult &result);
    RetryPurpose retryPurpose() const;
    /// Takes one unit of the retry budget for the next send, and logs the decision.
    bool takeRetry(const char *name, RetryPurpose purpose);
    /// Before a send: spends the unit that was taken for it, or takes another if that has expired.
    /// Returns false if a retry must not be sent.
    bool spendRetry();
    /// Returns the unit that was taken if nothing was sent for it.
    void returnRetry();
    /// Answers the caller after the last attempt, which ended with @p result.
    void giveUp(const SendResult &result);
    void forwardAnswer(const SendResult &result);
    void silenceTimedOut();
    /// The time at which the caller gets its final answer, whatever that is.
    MonotonicTime answerDue() const;
    /// The time at which a target ends the request itself; a shutdown does not change it.
    MonotonicTime timeoutAt() const { return m_task.arrived + timeout(); }
    void startDeadlineTimer();
    void deadlinePassed();
    /// Answers the caller because the daemon is about to end.
    void endForShutdown();
    /// Whether a new attempt is unlikely to be answered before the daemon ends.
    bool outlastsShutdown() const;
    /// Ends the request if outlastsShutdown(); returns whether it did.
    bool endIfOutlastsShutdown();
    Milliseconds remainingDuration() const;
    void logUnfinished() const;
    void callerGone();

    /// Whether another daemon should process the request, as this one cannot reach its service or
    /// has no part of the room there.
    bool shouldForward() const;
    void forward();
    void forwardEnded(const ForwardResult &result);
    /// Ends the exchange with the other daemon, if any.
    void leaveForwardPeer(ForwardOutcome outcome);
    /// Another daemon did not complete the request; @p ran: whether it may have run there.
    void forwardFailed(const ForwardResult &result, Ran ran);
    /// Headers for the caller, or for the daemon that forwarded the request.
    HttpHeaders answerHeaders(const HttpHeaders &headers, ForwardOutcome outcome) const;
    /// What a failure tells a daemon that forwarded the request.
    ForwardOutcome failureOutcome() const;

    void moveFrom(const TargetId &target);
    void beginMove();
    /// Spends the unit that was taken when the copy began, or takes one now.
    bool spendOnMove();
    bool wantsBackup() const;
    std::unique_ptr<GenerationBackup> chooseBackup(AttemptPlan &plan);
    bool hasUsableBackup() const;
    bool tryTakeOver(const char *reason);
    RelayAttemptCallbacks takeoverCallbacks();
    /// Continues a generation at the holder of its backup after its attempt ended with @p result;
    /// false if it cannot. @p result is evaluated later if the takeover fails.
    bool continueAtBackup(const SendResult &result);
    void endOverlap();
    /// Stops the generation at target(), whose connection was closed, as it may continue at the
    /// holder of its backup. Does nothing if that has been ordered.
    void stopAtTarget();
    /// Stops the generation at the holder of its backup, which may have continued it without an
    /// answer.
    void stopAtHolder();
    void takeoverBegan();
    void takeoverEnded(const SendResult &result);
    void logTakeover(const char *outcome, int status) const;
    void destinationRefused(const TargetId &destination);
    void moveLater(const QString &reason, Milliseconds wait);
    /// Cancels a copy in progress. Precondition: it has not stopped the generation, or the run
    /// ends.
    void abandonMove();
    void moveEnded(const MoveOutcome &outcome, bool stopped);
    void resumeAtSource(const CopyReference &copy);
    /// @p holderId may be target(), which changes during the call.
    void resume(const HttpEndpoint &holder, TargetId holderId, const CopyReference &copy);
    void failStream(const QString &reason);

    void succeed();
    void fail(ErrorKind kind, const QString &detail);
    void finish(const char *outcome);
    qint64 firstEventMilliseconds() const;

    RelayContext &m_context;
    const RelayTask m_task;
    const std::shared_ptr<CallerReply> m_reply;
    Ended m_ended;
    MonotonicTime m_deadline;
    /// Forecast output length; see OutputForecast.
    const Tokens m_expectedOutput;
    /// See Urgency; fixed at the arrival.
    int m_level = 0;
    ReturnKind m_returns = ReturnKind::New;

    Phase m_phase = Phase::Placing;
    /// Execution state after all attempts so far; it never decreases.
    Ran m_ran = Ran::No;
    int m_sends = 0;
    /// Attempts after which the request may have run.
    int m_possibleRuns = 0;
    /// Attempts that may have reached a target.
    int m_arrivals = 0;
    /// Counted for the retry budget by this daemon.
    bool m_isCounted = false;
    std::unique_ptr<ForwardedExchange> m_forward;
    VmId m_forwardPeer;
    MonotonicTime m_forwardedAt;
    /// Daemons that did not complete the request.
    QSet<VmId> m_excludedPeers;
    QSet<TargetId> m_excluded;
    TargetId m_target;
    HttpEndpoint m_endpoint;
    Tokens m_reserved;
    MonotonicTime m_occupiedAt;
    /// Requests of all daemons at the target, and unread tokens, when it was sent there.
    int m_runningWhenSent = 0;
    Tokens m_unreadWhenSent;
    MonotonicTime m_openedAt;
    bool m_waitsForRoom = false;
    /// See FleetAdmission::mayPlace().
    std::optional<MonotonicTime> m_roomLeftSince;
    /// Prompt tokens that the target is not known to have read yet.
    Tokens m_unread;
    /// Pays for the next send.
    std::optional<RetryUnit> m_retryUnit;
    std::unique_ptr<RoomReservation> m_reservation;
    double m_reservationLoad = 0;
    std::unique_ptr<GenerationBackup> m_backup;
    /// Asks the holder of the backup to continue while the first engine may still be generating.
    std::unique_ptr<RelayAttempt> m_takeover;
    /// Backup for the generation at the holder of the current backup, used after the takeover.
    std::unique_ptr<GenerationBackup> m_nextBackup;
    std::unique_ptr<TimerSubscription> m_takeoverTimer;
    const char *m_takeoverReason = "";
    MonotonicTime m_takeoverAskedAt;
    /// The generation is being stopped at target(); see GenerationStops.
    bool m_isBeingStopped = false;
    std::unique_ptr<RelayAttempt> m_attempt;
    /// Numbers in AttemptMonitor of the attempt and of the takeover; 0 if there is none.
    int m_monitored = 0;
    int m_monitoredTakeover = 0;
    RelayAttemptEnd m_attemptEnd{};
    std::unique_ptr<CrashHold> m_hold;
    /// Permissions to run a suspected request, until it is sent.
    QList<CrashTrial> m_trials;
    /// Failure answer of a target; sent to the caller if no retry succeeds.
    std::optional<SendResult> m_fallback;
    AnswerHead m_streamHead;
    bool m_streamOpen = false;
    /// AttemptMonitor needs no more events of the attempt.
    bool m_isProgressKnown = false;
    qint64 m_lastEvent = 0;
    MonotonicTime m_firstEventAt;
    MonotonicTime m_lastEventAt;
    Milliseconds m_longestPause{0};
    /// Delay after which a caller should retry that is rejected as all targets have reached their
    /// rate limits.
    std::optional<Milliseconds> m_rejectionDelay;
    /// Value sent to a caller that was refused.
    Milliseconds m_retryAfter{0};
    /// Longest pause of the stream that a move caused.
    Milliseconds m_movePause{0};
    int m_moves = 0;
    /// The next event is the first one from another engine.
    bool m_isFirstSinceMove = false;

    std::unique_ptr<GenerationMove> m_move;
    /// target() was ordered to stop the generation and may have done so.
    bool m_mayBeStopped = false;
    TargetId m_moveDestination;
    /// Counts the generation at the destination, so that the next move is likely to choose another.
    std::unique_ptr<TargetPlace> m_destinationPlace;
    /// Time that the copy occupies both links.
    Milliseconds m_copyTime{0};
    HttpEndpoint m_moveDestinationEndpoint;
    /// The destination has ended since, and the copy there is lost.
    bool m_isDestinationLost = false;
    /// Result of an attempt that ended during a move or takeover; evaluated if that does not
    /// continue the generation.
    std::optional<SendResult> m_deferredResult;
    /// Destination that had no room in the last try.
    TargetId m_avoidedDestination;
    std::unique_ptr<TimerSubscription> m_moveTimer;

    std::unique_ptr<TimerSubscription> m_deadlineTimer;
    std::unique_ptr<TimerSubscription> m_waitTimer;
    std::unique_ptr<TimerSubscription> m_silenceTimer;
};

} // namespace cranberry
