// Defines GenerationRun, which carries one request for a generation to its end.
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

/// Finds a target, claims if the request runs at most once, sends, resumes, retries where
/// that is safe, and hands the one chosen generation to its sinks.
/// Thread safety: only from the thread of the event loop.
class GenerationRun : public std::enable_shared_from_this<GenerationRun>
{
public:
    /// Told once when nothing further will happen in this run.
    using EndedCallback = std::function<void(GenerationRun &run)>;
    /// Told if another request holds the key, in place of an answer; the run is then over.
    using ClaimHeldCallback = std::function<void(const ClaimDecision &holder)>;

    /// Precondition: @p context outlives the run.
    GenerationRun(DeliveryContext &context, GenerationRequest request, EndedCallback onEnded,
                  ClaimHeldCallback onClaimHeld);
    ~GenerationRun();
    GenerationRun(const GenerationRun &) = delete;
    GenerationRun &operator=(const GenerationRun &) = delete;

    /// Begins. Precondition: called once.
    void start();

    /// Adds a receiver. Events so far are replayed to it if the run keeps them, which it does
    /// for at-most-once requests. Precondition: the run keeps events or has delivered none.
    void attach(const std::shared_ptr<AnswerSink> &sink);

    /// The caller behind @p sink has gone. An idempotent run without sinks is cancelled; one
    /// that runs at most once goes on, so that a further request can attach to it.
    void detach(const AnswerSink *sink);

    /// Cancels the run if it has no sinks.
    void cancelIfAbandoned();

    const GenerationRequest &request() const { return m_request; }
    /// Events so far, if the run keeps them; event i stands at place i.
    const QList<TokenEvent> &events() const { return m_events; }
    /// The attempt under which it claimed; empty before.
    const AttemptId &claimAttempt() const { return m_claim.attempt(); }
    bool hasEnded() const { return m_hasEnded; }
    /// Every event up to the last was received.
    bool isComplete() const { return m_sequence.complete; }
    bool hasSinks() const { return !m_sinks.isEmpty(); }
    qint64 bufferedBytes() const { return m_bufferedBytes; }
    /// How it failed, once it is over and did.
    const std::optional<Error> &failure() const { return m_failure; }

private:
    void acquireTarget();
    void targetAcquired(const Result<TargetAssignment> &assignment);
    void claimAndSend();
    void claimDecided(const Result<ClaimDecision> &decision);
    void send();
    /// A stream with a number, so that a callback can tell which of two streams it is for.
    struct NumberedStream {
        quint64 number = 0;
        /// It asks for what a send before it has started.
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
    void giveUp(SendFailure failure, const QString &reason);
    void giveUpAs(ErrorKind kind, Ran ran, SendFailure failure, const QString &reason);
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
    QSet<TargetId> m_excluded;
    TokenSequence m_sequence;
    quint64 m_streamCount = 0;
    NumberedStream m_stream;
    /// A resume opened while the stream is silent but not closed.
    NumberedStream m_parallelResume;
    std::unique_ptr<TimerSubscription> m_stallTimer;
    std::unique_ptr<TimerSubscription> m_deadlineTimer;
    std::unique_ptr<TimerSubscription> m_resumeTimer;
    MonotonicTime m_lastEventTime;
    int m_resumesWithoutEvent = 0;
    int m_unansweredResumes = 0;
    bool m_isAcquiring = false;
    bool m_isRetry = false;
    /// The target of the present attempt refuses connections.
    bool m_isTargetUnreachable = false;
    bool m_sent = false;
    bool m_answerBegan = false;
    bool m_hasEnded = false;
    /// What earlier attempts of this request left behind; the last answer may not say less.
    Ran m_ranInEarlierAttempts = Ran::No;
    std::optional<Error> m_failure;
};

} // namespace cranberry
