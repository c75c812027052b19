#pragma once

#include "quarantine/CrashMessage.h"
#include "quarantine/CrashRules.h"

#include <QHash>
#include <QSet>

#include <functional>
#include <optional>
#include <vector>

namespace cranberry {

/// The records of a daemon about requests and parts of prompts that may crash targets, and the
/// protocol that keeps the records of all daemons alike and lets one daemon at a time run a
/// suspected request, or one with a suspected part. Messages may
/// be lost, late, repeated or reordered: each carries whole records, which are merged, daemons
/// compare digests at intervals, and one that starts asks for all records.
///
/// A trial needs the votes of a majority of three daemons, which the fingerprint selects among
/// those that are alive. A daemon that votes keeps the run in its record until it learns the
/// result, and votes for no other run until then. Thread safety: none; one thread.
class CrashLedger
{
public:
    struct Callbacks {
        /// Sends a message to one daemon.
        std::function<void(const VmId &daemon, const CrashMessage &message)> send;
        /// Sends a message to all daemons.
        std::function<void(const CrashMessage &message)> broadcast;
        /// The other daemons that are alive.
        std::function<QList<VmId>()> members;
        /// A random number.
        std::function<quint64()> random;
        /// A trial that askTrial() asked for was granted or refused.
        std::function<void(const RequestFingerprint &request, SuspicionId id, bool isGranted)>
            trialDecided;
        /// A run has become a suspicion, or is none any more.
        std::function<void(const CrashRecord &record, const CrashSuspicion &run)> changed;
    };

    /// Precondition: all callbacks are set.
    CrashLedger(VmId self, Callbacks callbacks);

    /// The verdict on a request apart from its parts, or on one with the part @p key as a trial of
    /// kind @p kind. The run @p except does not count.
    RunVerdict verdict(const RequestFingerprint &key, SuspicionId except, MonotonicTime now,
                       TrialKind kind = TrialKind::Single) const;
    PartStanding standing(const RequestFingerprint &part, SuspicionId except,
                          MonotonicTime now) const;

    /// Whether a run of the request is suspected.
    bool isSuspected(const RequestFingerprint &request) const;

    /// Adds a run that may have crashed @p target. Other daemons are not told before publish() or a
    /// change of its state.
    SuspicionId addRun(const CrashKey &key, const TargetId &target, MonotonicTime now);
    void publish(const RequestFingerprint &request);
    bool isPublished(SuspicionId id) const { return !m_unpublished.contains(id.value()); }
    /// Sets the target of a run that askTrial() added.
    void setTarget(const RequestFingerprint &request, SuspicionId id, const TargetId &target);
    void suspect(const RequestFingerprint &request, SuspicionId id, MonotonicTime now);
    void withdraw(const RequestFingerprint &request, SuspicionId id, MonotonicTime now);
    /// An answer has begun to a request with the part, and its target has survived that.
    void clearPart(const RequestFingerprint &part, MonotonicTime now);
    /// The request ran to its end, which outweighs a suspicion.
    void recordCompleted(const RequestFingerprint &request, MonotonicTime now);

    /// Asks the other daemons for permission to run the request. trialDecided() is called later, or
    /// during the call. @p kind: None for a request. Precondition: the verdict is Trial.
    void askTrial(const CrashKey &key, TrialKind kind, MonotonicTime now);
    bool isAsking(const RequestFingerprint &request) const;

    void handle(const VmId &from, const CrashMessage &message, MonotonicTime now);
    /// Sends messages again, ends trials without enough answers, compares digests with other
    /// daemons, and drops expired records. Call at intervals of about 50 ms.
    void tick(MonotonicTime now);

    /// Asks some daemons for their records. Until an answer arrives, isSynchronised() is false.
    void pull();
    bool isSynchronised() const { return m_isSynchronised; }
    void setSynchronised(bool isSynchronised) { m_isSynchronised = isSynchronised; }

    const QHash<RequestFingerprint, CrashRecord> &records() const { return m_records; }

private:
    struct Asking {
        RequestFingerprint request;
        SuspicionId id;
        TrialKind kind = TrialKind::None;
        QList<VmId> voters;
        QSet<VmId> granted;
        QSet<VmId> refused;
        MonotonicTime since;
        MonotonicTime sentAt;
    };
    struct CompletedRuns {
        int count = 0;
        MonotonicTime lastAt;
    };

    SuspicionId addRun(const CrashKey &key, const TargetId &target, TrialKind kind,
                       MonotonicTime now);
    /// Whether one more run may be made although no other daemon answers.
    bool mayRunWithoutVotes(const RequestFingerprint &key, MonotonicTime now) const;
    CrashSuspicion *find(const RequestFingerprint &request, SuspicionId id);
    void setState(const RequestFingerprint &request, SuspicionId id, SuspicionState state,
                  MonotonicTime now);
    /// Adds the runs that this daemon has completed to the record; returns whether it changed.
    bool addCompletions(CrashRecord &record, MonotonicTime now) const;
    bool makeRoom();
    /// Merges @p added into @p known and remembers the withdrawn runs that are dropped for it.
    bool mergeKnown(CrashRecord &known, const CrashRecord &added, MonotonicTime now);
    /// @p record without runs that were withdrawn and dropped.
    CrashRecord withoutDropped(const CrashRecord &record, MonotonicTime now);
    void rememberDropped(SuspicionId id, MonotonicTime now);
    void mergeRecord(const VmId &from, const CrashRecord &received, MonotonicTime now);
    void vote(const VmId &from, const CrashMessage &message, MonotonicTime now);
    void sendAsk(Asking &asking, MonotonicTime now);
    void countVotes(SuspicionId id, MonotonicTime now);
    void endAsking(SuspicionId id, bool isGranted, MonotonicTime now);
    void sendAll(const VmId &to) const;
    void compareDigests();
    void dropExpired(MonotonicTime now);
    void removeRun(const RequestFingerprint &request, SuspicionId id);
    quint64 digest();

    const VmId m_self;
    Callbacks m_callbacks;
    QHash<RequestFingerprint, CrashRecord> m_records;
    /// Withdrawn runs that are in no record, and when they were dropped. Other daemons may not know
    /// yet that they were withdrawn.
    QHash<qint64, MonotonicTime> m_dropped;
    /// Runs that no other daemon was told of.
    QSet<qint64> m_unpublished;
    /// Trials that only their voters were told of.
    QHash<qint64, QList<VmId>> m_votersOfTrial;
    /// Unset after a change.
    std::optional<quint64> m_digest;
    QHash<RequestFingerprint, CompletedRuns> m_completed;
    std::vector<Asking> m_asking;
    bool m_isSynchronised = false;
    MonotonicTime m_comparedAt;
    MonotonicTime m_droppedAt;
};

} // namespace cranberry
