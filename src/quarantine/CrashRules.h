#pragma once

#include "quarantine/CrashRecord.h"

#include <QHash>

namespace cranberry {

using CrashRecords = QHash<RequestFingerprint, CrashRecord>;

// The rules that decide whether a request may run, from its runs that may have crashed their
// targets, and those that ran to their end. A completed run outweighs a suspicion; in what follows,
// only suspicions beyond the completed runs count. The first run of a request needs no permission.
// After one suspicion it runs on one target at a time; after two it waits, and has one more trial;
// after three it is rejected.
//
// A part of prompts is suspected once several targets have crashed under requests with it, none of
// which had begun to be answered, and no such request has begun to be answered since. Requests with
// a suspected part run on one target at a time. Such a run is a trial of the part: if it begins to
// be answered, the part is cleared; if it crashes its target, there is one more, and then requests
// with the part are rejected. If several parts of a prompt are suspected, a crash does not tell
// which of them is harmful, so that such a trial counts separately, and begins later than one of a
// request with a single suspected part.
//
// All functions are thread-safe.

/// Suspicions after which a request is not sent to any target.
constexpr int MaxSuspicions = 3;
/// Delay of the trial after the second suspicion. The request may have been on two targets that
/// ended for another reason.
constexpr Milliseconds SecondTrialDelay{3000};
/// A run of another daemon counts as a suspicion if nothing was heard of it for this time.
constexpr Milliseconds RunLease{10'000};
/// How long a record is kept after its last change, with and without a suspicion.
constexpr Milliseconds SuspectedLifetime{600'000};
constexpr Milliseconds WithdrawnLifetime{60'000};
/// Bound the size of a record and of a message.
constexpr qsizetype MaxRunsPerRecord = 32;
constexpr qsizetype MaxDaemonsPerRecord = 16;
/// Completed runs of a daemon that count. A request may begin to crash its targets.
constexpr int MaxCompletionsPerDaemon = 8;

/// Crashed targets from which on a part is suspected.
constexpr int MinPartCrashes = 2;
/// From this number of crashed targets on, one trial that crashed its target is enough.
constexpr int CertainPartCrashes = 4;
/// Trials of a part that crashed their targets, after which its requests are rejected.
constexpr int MaxPartTrials = 2;
/// Suspicions of one target within this time are of one crash.
constexpr Milliseconds CrashSpan{1000};
/// Delay of a trial of several parts, so that a request with one of them can be tried first.
constexpr Milliseconds JointTrialDelay{1000};

enum class RunVerdict {
    /// It may run.
    Free,
    /// It may run if no other daemon runs it.
    Trial,
    /// It must wait for the result of another run.
    Wait,
    /// It must not be sent to a target.
    Reject,
};

/// The name used in log lines.
const char *runVerdictName(RunVerdict verdict);

/// Whether daemon @p self may run the request. The run @p except does not count.
/// Precondition: the record is of a request.
RunVerdict runVerdict(const CrashRecord &record, const VmId &self, SuspicionId except,
                      MonotonicTime now);

/// Number of suspicions of a request at @p now beyond the completed runs, runs with an expired
/// lease included; not negative.
int suspicionCount(const CrashRecord &record, const VmId &self, MonotonicTime now);

/// Whether @p run counts as a suspicion for daemon @p self: it is one, or nothing was heard of it
/// for too long.
bool isSuspicion(const CrashSuspicion &run, const VmId &self, MonotonicTime now);

/// What is known of a part of prompts.
struct PartStanding {
    /// Targets that crashed.
    int crashes = 0;
    /// Trials that crashed their targets.
    int singleTrials = 0;
    int jointTrials = 0;
    bool isRunning = false;
    MonotonicTime lastCrashAt;

    bool isSuspected() const { return crashes >= MinPartCrashes; }
};

/// The standing of part @p part for daemon @p self. The run @p except does not count. A trial
/// of this part alone does not count if another part, which is suspected at least as much, was at
/// the target as well.
PartStanding partStanding(const CrashRecords &records, const RequestFingerprint &part,
                          const VmId &self, SuspicionId except, MonotonicTime now);

/// Whether a request may run as a trial of kind @p kind of a part. Precondition: the part is
/// suspected.
RunVerdict trialVerdict(const PartStanding &standing, TrialKind kind, MonotonicTime now);

/// Whether a request whose prompt has the parts @p standings may run.
RunVerdict promptVerdict(const QList<PartStanding> &standings, MonotonicTime now);

/// Adds what @p from knows to @p into. The result does not depend on the order in which records are
/// merged, nor on how often. Returns whether @p into changed.
bool merge(CrashRecord &into, const CrashRecord &from);

/// Whether the record can be dropped.
bool isExpired(const CrashRecord &record, MonotonicTime now);

/// Equal for records with the same runs, apart from withdrawn ones, which need not be kept.
quint64 digestOf(const CrashRecord &record);

} // namespace cranberry
