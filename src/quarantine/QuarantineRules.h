// Defines the rules of quarantine: which request is to blame for the death of a target.
#pragma once

#include "quarantine/ProbationCandidate.h"
#include "quarantine/ProbationDecision.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineState.h"

#include <optional>

namespace cranberry {

// When a target dies, each request on it may be to blame and becomes a suspect. A suspect runs
// on probation: where no other suspect runs, and no new request joins it there. So when a target
// dies with one suspect on it, that one has been on both: it is quarantined, and what still ran
// there from before is not blamed. Each function changes only its state and may be called from
// any thread that owns the state.

/// Precondition: expireQuarantine() was called with the present time.
QuarantineVerdict verdictOf(const QuarantineState &state, const RequestFingerprint &fingerprint);

/// How many suspects run on @p target, those of other daemons included; while any does, no other
/// request should be sent there.
qsizetype suspectsOn(const QuarantineState &state, const TargetId &target);

/// Where a suspect may run: of the @p candidates, all usable targets of its service, one
/// without a suspect and with least at stake. Empty if there is none, or if the settings' share
/// of the candidates is on probation already; it then has to wait.
std::optional<TargetId> probationTarget(const QuarantineState &state,
                                        const RequestFingerprint &fingerprint,
                                        const QList<ProbationCandidate> &candidates);

/// As probationTarget(), for a daemon that has others: the first call reserves a target, a
/// later one lets the suspect start there if no other daemon's suspect that goes before it was
/// announced for that target meanwhile.
ProbationDecision decideProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                                  const QList<ProbationCandidate> &candidates, MonotonicTime now);

/// True if a suspect runs on @p target or is to run there.
bool isOnProbation(const QuarantineState &state, const TargetId &target);

/// An attempt of the request is being sent to @p target.
void noteAttemptStarted(QuarantineState &state, const RequestFingerprint &fingerprint,
                        const WorkspaceId &workspace, const TargetId &target, MonotonicTime now);

/// An attempt ended and the target lives; @p ran: it ran to its own end there, which clears
/// the request.
void noteAttemptFinished(QuarantineState &state, const RequestFingerprint &fingerprint,
                         const TargetId &target, bool ran);

/// What the death of @p target means for each request on it.
QList<QuarantineOutcome> noteTargetDied(QuarantineState &state, const TargetId &target,
                                        TargetDeathCause cause, MonotonicTime now);

/// Another daemon suspects the request.
void noteSuspect(QuarantineState &state, const RequestFingerprint &fingerprint,
                 const WorkspaceId &workspace, MonotonicTime now);

/// Another daemon runs, or reserves for, a suspect on @p target.
void noteRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                         const TargetId &target, const RemoteProbation &probation);

/// Another daemon's suspect has ended on @p target.
void endRemoteProbation(QuarantineState &state, const RequestFingerprint &fingerprint,
                        const TargetId &target);

/// Holds the request back until @p until, by this daemon's or another's finding.
void noteQuarantined(QuarantineState &state, const QuarantineEntry &entry);

/// The operator releases the request. False if it was neither held back nor suspect.
bool releaseRequest(QuarantineState &state, const RequestFingerprint &fingerprint);

/// Ends what has lasted its time and clears suspects that survived. Returns those whose
/// quarantine ended.
QList<QuarantineEntry> expireQuarantine(QuarantineState &state, MonotonicTime now);

} // namespace cranberry
