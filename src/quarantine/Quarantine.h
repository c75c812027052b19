// Defines Quarantine, the table of requests that crash targets.
#pragma once

#include "quarantine/ProbationCandidate.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineState.h"

#include <QCborMap>
#include <QMutex>

#include <functional>
#include <optional>

namespace cranberry {

/// The lock and the news around QuarantineRules. Entries live in memory only: a daemon that
/// starts learns of a crashing request from the next news or the next crash.
/// Thread safety: thread-safe, but for onNews(). Times are those of the timer service.
class Quarantine
{
public:
    /// Takes what the other daemons should hear; called without the lock, in the thread of the
    /// call that caused it.
    using NewsCallback = std::function<void(const QCborMap &news)>;

    explicit Quarantine(QuarantineSettings settings = QuarantineSettings());

    /// Precondition: called before any other thread uses the table.
    void onNews(NewsCallback callback);

    /// Whether the request may be sent to a target, and how.
    QuarantineVerdict mayRun(const RequestFingerprint &fingerprint, MonotonicTime now);

    /// True while a suspect runs, or is to run, on @p target: send no other request there.
    bool isOnProbation(const TargetId &target) const;

    /// The target for a suspect, of all usable ones of its service; empty: it has to wait, ask
    /// again in about a tenth of a second. With onNews() set, a target is first reserved and
    /// told to the other daemons for the settings' time. Ask and call attemptStarted in one
    /// step of the event loop, else two suspects may meet. Precondition: mayRun() was called
    /// with the present time.
    std::optional<TargetId> probationTarget(const RequestFingerprint &fingerprint,
                                            const QList<ProbationCandidate> &candidates);

    /// An attempt of the request is being sent to @p target.
    void attemptStarted(const RequestFingerprint &fingerprint, const WorkspaceId &workspace,
                        const TargetId &target, MonotonicTime now);

    /// An attempt ended while its target lives. @p ran: the target answered it to the end.
    void attemptFinished(const RequestFingerprint &fingerprint, const TargetId &target, bool ran);

    /// What the death of @p target means for each request that this daemon had on it. Call it
    /// before attemptFinished of these attempts, which may then be left out.
    QList<QuarantineOutcome> targetDied(const TargetId &target, TargetDeathCause cause,
                                        MonotonicTime now);

    /// The operator releases a request, here and at every daemon. False if it is not known.
    bool release(const RequestFingerprint &fingerprint);

    /// Takes in what another daemon says; malformed news is ignored.
    void takeNews(const QCborMap &body, MonotonicTime now);

    /// The requests that are held back.
    QList<QuarantineEntry> entries(MonotonicTime now);

private:
    void expire(MonotonicTime now);
    void tell(const QList<QCborMap> &news) const;

    /// Guards m_state only; no other lock is taken while it is held.
    mutable QMutex m_mutex;
    QuarantineState m_state;
    /// Of the last call that brought one.
    MonotonicTime m_now;
    NewsCallback m_newsCallback;
};

} // namespace cranberry
