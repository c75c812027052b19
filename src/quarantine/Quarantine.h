#pragma once

#include "quarantine/ProbationCandidate.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineState.h"

#include <QCborMap>
#include <QMutex>

#include <functional>
#include <optional>

namespace cranberry {

/// The table of requests that crash targets. Adds locking and messages to other daemons to the
/// rules in QuarantineRules.h. Entries are kept in memory only: a daemon that starts learns of a
/// crashing request from the next message or the next crash.
/// Thread safety: thread-safe, except for onNews(). Times are those of the timer service.
class Quarantine
{
public:
    /// Receives a message for the other daemons. Called without the lock, in the thread of the call
    /// that caused the message.
    using NewsCallback = std::function<void(const QCborMap &news)>;

    explicit Quarantine(QuarantineSettings settings = QuarantineSettings());

    /// Sets the callback. Precondition: called before any other thread uses the table.
    void onNews(NewsCallback callback);

    /// Whether the request may be sent to a target, and how.
    QuarantineVerdict verdict(const RequestFingerprint &fingerprint, MonotonicTime now);

    /// True while a suspect runs, or is about to run, on @p target; no other request must be sent
    /// there.
    bool isOnProbation(const TargetId &target) const;

    /// The target for a suspect among @p candidates, all usable targets of its service. Empty if it
    /// must wait; ask again in about 100 ms. If onNews() is set, a target is first reserved and
    /// announced to the other daemons for the settings' reservationDelay. This call and
    /// attemptStarted() must be made in the same step of the event loop, otherwise two suspects may
    /// run on one target. Precondition: verdict() was called with the current time.
    std::optional<TargetId> probationTarget(const RequestFingerprint &fingerprint,
                                            const QList<ProbationCandidate> &candidates);

    /// Records that an attempt of the request is being sent to @p target.
    void attemptStarted(const RequestFingerprint &fingerprint, const WorkspaceId &workspace,
                        const TargetId &target, MonotonicTime now);

    /// Records that an attempt ended while its target is alive. @p completed is true if the target
    /// answered the request to the end.
    void attemptFinished(const RequestFingerprint &fingerprint, const TargetId &target,
                         bool completed);

    /// Returns what the death of @p target means for each request of this daemon on it. Must be
    /// called before attemptFinished() for these attempts, which may then be omitted.
    QList<QuarantineOutcome> targetDied(const TargetId &target, TargetDeathCause cause,
                                        MonotonicTime now);

    /// Releases a request on behalf of the operator, in this and every other daemon. Returns false
    /// if the request is unknown.
    bool release(const RequestFingerprint &fingerprint);

    /// Processes a message of another daemon; a malformed message is ignored.
    void handleNews(const QCborMap &body, MonotonicTime now);

    /// The quarantined requests.
    QList<QuarantineEntry> entries(MonotonicTime now);

private:
    void expire(MonotonicTime now);
    void publish(const QList<QCborMap> &news) const;

    /// Guards m_state; no other lock is taken while it is held.
    mutable QMutex m_mutex;
    QuarantineState m_state;
    /// The time passed to the last call of verdict().
    MonotonicTime m_lastVerdictTime;
    NewsCallback m_newsCallback;
};

} // namespace cranberry
