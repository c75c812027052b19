#pragma once

#include "base/Units.h"
#include "quarantine/QuarantineEntry.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineSettings.h"

#include <QHash>
#include <QList>
#include <QMap>

namespace cranberry {

/// The attempts of one request on one target.
struct RunningRequest {
    WorkspaceId workspace;
    int attempts = 0;
    MonotonicTime since;
};

struct SuspectRequest {
    WorkspaceId workspace;
    MonotonicTime since;
    /// How long the request had run when its target died.
    Milliseconds runTimeBeforeDeath{0};
};

/// A probation that is announced and has not started.
struct ProbationReservation {
    TargetId target;
    MonotonicTime since;
};

/// A probation of another daemon.
struct RemoteProbation {
    /// Expiry time, if the message about its end is lost.
    MonotonicTime until;
    /// False while the target is only reserved; the suspect cannot cause a death of the target
    /// then.
    bool running = false;
};

/// The death of a target and the requests that were running on it.
struct TargetDeath {
    MonotonicTime time;
    QList<RequestFingerprint> requests;
};

/// The complete quarantine state of one daemon. A plain value, changed by the functions in
/// QuarantineRules.h.
struct QuarantineState {
    QuarantineSettings settings;
    QMap<TargetId, QHash<RequestFingerprint, RunningRequest>> running;
    QHash<RequestFingerprint, SuspectRequest> suspects;
    QHash<RequestFingerprint, ProbationReservation> reservations;
    /// Suspects of other daemons that run, or are about to run, on a target.
    QMap<TargetId, QHash<RequestFingerprint, RemoteProbation>> remoteProbations;
    QHash<RequestFingerprint, QuarantineEntry> quarantined;
    /// Deaths within the last massDeathWindow.
    QList<TargetDeath> deaths;
};

} // namespace cranberry
