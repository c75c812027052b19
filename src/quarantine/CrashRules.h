#pragma once

#include "quarantine/CrashRecord.h"

namespace cranberry {

// The rules that decide whether a request may run, from its runs that may have crashed their
// targets, and those that ran to their end. A completed run outweighs a suspicion; in what follows,
// only suspicions beyond the completed runs count. The first run of a request needs no permission.
// After one suspicion it runs on one target at a time; after two it waits, and has one more trial;
// after three it is rejected. All functions are thread-safe.

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
constexpr qsizetype MaxRunsPerRecord = 16;
constexpr qsizetype MaxDaemonsPerRecord = 16;
/// Completed runs of a daemon that count. A request may begin to crash its targets.
constexpr int MaxCompletionsPerDaemon = 8;

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
RunVerdict runVerdict(const CrashRecord &record, const VmId &self, SuspicionId except,
                      MonotonicTime now);

/// Number of suspicions at @p now beyond the completed runs, runs with an expired lease included;
/// not negative.
int suspicionCount(const CrashRecord &record, const VmId &self, MonotonicTime now);

/// Adds what @p from knows to @p into. The result does not depend on the order in which records are
/// merged, nor on how often. Returns whether @p into changed.
bool merge(CrashRecord &into, const CrashRecord &from);

/// Whether the record can be dropped.
bool isExpired(const CrashRecord &record, MonotonicTime now);

/// Equal for records with the same runs.
quint64 digestOf(const CrashRecord &record);

} // namespace cranberry
