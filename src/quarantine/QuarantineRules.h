#pragma once

#include "quarantine/ProbationCandidate.h"
#include "quarantine/ProbationDecision.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineState.h"

#include <optional>

namespace cranberry {

// The rules that decide which request caused the death of a target. When a target dies, each
// request on it becomes a suspect. A suspect runs on probation: on a target without another
// suspect, to which no new requests are sent. If a target with exactly one suspect dies, that
// suspect was running on both dead targets and is quarantined; requests that were on the target
// before the suspect are not blamed. Each function changes only its state argument and may be
// called from any thread that owns the state.

/// Precondition: expireQuarantine() was called with the current time.
QuarantineVerdict verdictOf(const QuarantineState &state, const RequestFingerprint &fingerprint);

/// Number of suspects that run on @p target, including those of other daemons. While it is not 0,
/// no other request should be sent there.
qsizetype suspectCount(const QuarantineState &state, const TargetId &target);

/// The target on which a suspect may run: the one of @p candidates with the lowest crashCost that
/// has no suspect. Empty if there is none, or if the maximum share of the candidates is already on
/// probation; the suspect must then wait. Precondition: @p candidates are all usable targets of its
/// service.
std::optional<TargetId> probationTarget(const QuarantineState &state,
                                        const RequestFingerprint &fingerprint,
                                        const QList<ProbationCandidate> &candidates);

/// As probationTarget(), for a daemon with peers. The first call reserves a target. A later call
/// lets the suspect start there unless another daemon has meanwhile announced a suspect with
/// precedence for that target.
ProbationDecision decideProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                                  const QList<ProbationCandidate> &candidates, MonotonicTime now);

/// True if a suspect runs on @p target or is about to run there.
bool isOnProbation(const QuarantineState &state, const TargetId &target);

/// Records that an attempt of the request is being sent to @p target.
void recordAttemptStarted(QuarantineState &state, const RequestFingerprint &fingerprint,
                          const WorkspaceId &workspace, const TargetId &target, MonotonicTime now);

/// Records that an attempt ended while its target is alive. @p completed is true if the attempt ran
/// to its end, which clears the request.
void recordAttemptFinished(QuarantineState &state, const RequestFingerprint &fingerprint,
                           const TargetId &target, bool completed);

/// Returns what the death of @p target means for each request on it.
QList<QuarantineOutcome> recordTargetDeath(QuarantineState &state, const TargetId &target,
                                           TargetDeathCause cause, MonotonicTime now);

/// Records that another daemon suspects the request.
void recordSuspect(QuarantineState &state, const RequestFingerprint &fingerprint,
                   const WorkspaceId &workspace, MonotonicTime now);

/// Records that another daemon runs a suspect on @p target, or has reserved the target for one.
void recordRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                           const TargetId &target, const RemoteProbation &probation);

/// Records that another daemon's suspect has ended on @p target.
void endRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                        const TargetId &target);

/// Quarantines the request of @p entry until its end time, found by this or another daemon.
void recordQuarantined(QuarantineState &state, const QuarantineEntry &entry);

/// Releases the request on behalf of the operator. Returns false if it was neither quarantined nor
/// suspect.
bool releaseRequest(QuarantineState &state, const RequestFingerprint &fingerprint);

/// Removes expired entries and clears suspects that have survived. Returns the entries whose
/// quarantine ended.
QList<QuarantineEntry> expireQuarantine(QuarantineState &state, MonotonicTime now);

} // namespace cranberry
