#pragma once

#include "quarantine/CrashRules.h"
#include "quarantine/CrashSubject.h"
#include "quarantine/CrashTrial.h"

#include <QHash>

#include <functional>
#include <map>
#include <optional>

namespace cranberry {

class CrashLedger;

/// Decides whether requests may run, from the records of each request and of the parts of its
/// prompt, and holds those that have to wait. A request that may run if no other daemon runs one
/// like it asks for a trial of each record that demands it, one after the other in the order of
/// their fingerprints, so that no two requests wait for each other's trials.
/// Thread safety: none; one thread.
class CrashAdmission
{
public:
    /// The request may run, as the trials @p trials; or it must not run.
    using Decided = std::function<void(bool isAllowed, const QList<CrashTrial> &trials)>;

    struct Counters {
        qint64 held = 0;
        qint64 rejected = 0;
        /// Of these, for a part of their prompts.
        qint64 rejectedForPart = 0;
    };

    /// Precondition: @p ledger outlives the object.
    explicit CrashAdmission(CrashLedger &ledger);

    RunVerdict verdict(const CrashSubject &subject, MonotonicTime now);
    /// Delay after which the caller should retry if the verdict is Reject.
    std::optional<Milliseconds> retryDelay(const CrashSubject &subject, MonotonicTime now) const;
    /// Returns the number of the held request. @p decided is called later, during decide(), once,
    /// unless release() is called before.
    int hold(const CrashSubject &subject, Decided decided);
    /// Gives up the wait.
    void release(int number, MonotonicTime now);
    /// Decides the requests that do not have to wait any longer.
    void decide(MonotonicTime now);
    /// A trial that this object asked the ledger for was granted or refused.
    void trialDecided(const CrashTrial &trial, bool isGranted, MonotonicTime now);

    qsizetype size() const { return qsizetype(m_holds.size()); }
    const Counters &counters() const { return m_counters; }

private:
    struct Hold {
        CrashSubject subject;
        Decided decided;
        /// Those granted so far.
        QList<CrashTrial> trials;
    };

    RunVerdict verdictOf(const CrashSubject &subject, const QList<CrashTrial> &granted,
                         MonotonicTime now) const;
    void countRejection(const CrashSubject &subject, MonotonicTime now);
    /// The records that demand a trial, in the order in which they are asked for.
    QList<CrashKey> trialsOf(const CrashSubject &subject, const QList<CrashTrial> &granted,
                             MonotonicTime now) const;
    RunVerdict partsVerdict(const CrashSubject &subject, const QList<CrashTrial> &granted,
                            MonotonicTime now) const;
    void decide(int number, MonotonicTime now);
    void end(int number, bool isAllowed, MonotonicTime now);

    CrashLedger &m_ledger;
    Counters m_counters;
    int m_lastHold = 0;
    std::map<int, Hold> m_holds;
    /// The held requests for which trials were asked, by fingerprint. A trial of one part says
    /// nothing if it is made by a request with other suspected parts.
    QHash<RequestFingerprint, int> m_askedFor;
};

} // namespace cranberry
