// Defines QuarantineState, all that one daemon's quarantine remembers.
#pragma once

#include "base/Units.h"
#include "quarantine/QuarantineEntry.h"
#include "quarantine/QuarantineOutcome.h"
#include "quarantine/QuarantineSettings.h"

#include <QHash>
#include <QList>
#include <QMap>

namespace cranberry {

/// Attempts of one request on one target.
struct RunningRequest {
    WorkspaceId workspace;
    int attempts = 0;
    MonotonicTime since;
};

struct SuspectRequest {
    WorkspaceId workspace;
    MonotonicTime since;
    /// How long it had run when its target died.
    Milliseconds ranBefore{0};
};

/// A probation that is announced and has not started.
struct ProbationReservation {
    TargetId target;
    MonotonicTime since;
};

/// A probation of another daemon.
struct RemoteProbation {
    /// It counts until then if its end is not heard.
    MonotonicTime until;
    /// False while it is only reserved: a death of the target cannot be its fault.
    bool running = false;
};

/// A target's death and what ran on it.
struct TargetDeath {
    MonotonicTime time;
    QList<RequestFingerprint> requests;
};

/// A plain value; the functions of QuarantineRules.h change it.
struct QuarantineState {
    QuarantineSettings settings;
    QMap<TargetId, QHash<RequestFingerprint, RunningRequest>> running;
    QHash<RequestFingerprint, SuspectRequest> suspects;
    QHash<RequestFingerprint, ProbationReservation> reservations;
    /// Suspects that run, or are to run, on a target by way of other daemons.
    QMap<TargetId, QHash<RequestFingerprint, RemoteProbation>> remoteProbations;
    QHash<RequestFingerprint, QuarantineEntry> quarantined;
    /// Of the last massWindow.
    QList<TargetDeath> deaths;
};

} // namespace cranberry
