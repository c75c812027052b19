#pragma once

#include "base/Error.h"
#include "base/Units.h"
#include "delivery/GenerationRequest.h"
#include "delivery/RequestClaim.h"
#include "delivery/SendFailure.h"
#include "delivery/TargetSource.h"
#include "delivery/TokenEvent.h"
#include "delivery/TokenSequence.h"

#include <QList>
#include <QSet>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class AnswerSink;
class TargetStream;
class TimerSubscription;
enum class CancelOutcome;
struct ClaimDecision;
struct DeliveryContext;

/// Runs one generation request to its end: acquires a target, acquires a claim if the request
/// runs at most once, sends the request, resumes a broken stream, retries on another target
/// where that is safe, and delivers the events of exactly one generation to its sinks. What
/// follows after a failed send or resume is implemented in GenerationRunFailures.cpp.
/// Thread safety: only from the event loop thread.
class GenerationRun : public std::enable_shared_from_this<GenerationRun>
{
public:
    /// Called once, when the run has ended.
    using EndedCallback = std::function<void(GenerationRun &run)>;
    /// Called instead of the sinks if another request holds the claim key; the run then ends.
    using ClaimHeldCallback = std::function<void(const ClaimDecision &holder)>;

    /// Precondition: @p context outlives the run.
    GenerationRun(DeliveryContext &context, GenerationRequest request, EndedCallback onEnded,
                  ClaimHeldCallback onClaimHeld);
    ~GenerationRun();
    GenerationRun(const GenerationRun &) = delete;
    GenerationRun &operator=(const GenerationRun &) = delete;

    /// Starts the run. Precondition: called once.
    void start();

    /// Adds a receiver and replays the buffered events to it. Only at-most-once runs buffer
    /// their events. Precondition: the run buffers events or has delivered none.
    void attach(const std::shared_ptr<AnswerSink> &sink);

    /// Removes @p sink after its caller has disconnected. An idempotent run without sinks is
    /// cancelled. An at-most-once run continues, so that a later request with the same key can
    /// attach to it.
    void detach(const AnswerSink *sink);

    /// Cancels the run if it has no sinks.
    void cancelIfAbandoned();

    const GenerationRequest &request() const { return m_request; }
    /// The events delivered so far, if the run buffers them; event i is at position i.
    const QList<TokenEvent> &events() const { return m_events; }
    /// The attempt that the claim was acquired for; empty before that.
    const AttemptId &claimAttempt() const { return m_claim.attempt(); }
    bool hasEnded() const { return m_hasEnded; }
    /// Whether every event, including the last one, was received.
    bool isComplete() const { return m_sequence.complete; }
    bool hasSinks() const { return !m_sinks.isEmpty(); }
    qint64 bufferedBytes() const { return m_bufferedBytes; }
    /// The error that the run ended with; empty while it runs and after a complete answer.
    const std::optional<Error> &failure() const { return m_failure; }

private:
    void acquireTarget();
    void targetAcquired(const Result<TargetAssignment> &assignment);
    void claimAndSend();
    void claimDecided(const Result<ClaimDecision> &decision);
    void send();
    /// A stream with a number by which a callback identifies the stream it belongs to.
    struct NumberedStream {
        quint64 number = 0;
        /// Whether the stream resumes the generation of an earlier send.
        bool isResume = false;
        std::unique_ptr<TargetStream> stream;
    };

    NumberedStream openStream(bool isResume);
    bool isParallelResume(quint64 stream) const;
    void streamEvent(const TokenEvent &event, quint64 stream);
    void deliver(const TokenEvent &event);
    void streamEnded(std::optional<SendFailure> failure, int status, const QString &reason,
                     quint64 stream);
    void parallelResumeEnded(int status);
    void handleSendFailure(SendFailure failure, int status, bool isResume, const QString &reason);
    void scheduleResume();
    void resumesExhausted();
    void cancelAndResolve(SendFailure failure, int status, const QString &reason);
    void cancelAnswered(CancelOutcome outcome, SendFailure failure, int status,
                        const QString &reason);
    void retryOnOtherTarget(SendFailure failure, const QString &reason);
    void failAfter(SendFailure failure, const QString &reason);
    void failAs(ErrorKind kind, Ran ran, SendFailure failure, const QString &reason);
    void startStallTimer();
    void startStallTimer(Milliseconds silence);
    void openParallelResume();
    void deadlinePassed();
    void endAttempt(AttemptOutcome outcome);
    void cancelAtTarget();
    void finish();
    void fail(Error error);
    void endRun();
    Ran ranSoFar() const;

    DeliveryContext &m_context;
    const GenerationRequest m_request;
    RequestClaim m_claim;
    EndedCallback m_onEnded;
    ClaimHeldCallback m_onClaimHeld;

    QList<std::shared_ptr<AnswerSink>> m_sinks;
    QList<TokenEvent> m_events;
    qint64 m_bufferedBytes = 0;

    AttemptId m_attempt;
    TargetId m_target;
    HttpEndpoint m_endpoint;
    Incarnation m_incarnation;
    QSet<TargetId> m_excludedTargets;
    TokenSequence m_sequence;
    quint64 m_streamCount = 0;
    NumberedStream m_stream;
    /// A resume that was opened while m_stream is silent but not closed.
    NumberedStream m_parallelResume;
    std::unique_ptr<TimerSubscription> m_stallTimer;
    std::unique_ptr<TimerSubscription> m_deadlineTimer;
    std::unique_ptr<TimerSubscription> m_resumeTimer;
    MonotonicTime m_lastEventTime;
    int m_resumesWithoutEvent = 0;
    int m_unansweredResumes = 0;
    bool m_isAcquiring = false;
    bool m_isRetry = false;
    /// Connecting to the target of the current attempt failed and the target answered no cancel.
    bool m_isTargetUnreachable = false;
    bool m_sent = false;
    bool m_answerBegan = false;
    bool m_hasEnded = false;
    /// The highest Ran of the earlier attempts of this request. An error must not report less.
    Ran m_ranInEarlierAttempts = Ran::No;
    std::optional<Error> m_failure;
};

} // namespace cranberry
