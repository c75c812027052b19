// Defines a simulation of daemons that receive a harmful request over and over.
#pragma once

#include "base/Units.h"

#include <QtGlobal>

namespace cranberry::test {

struct CrashSimulationOptions {
    quint32 seed = 1;
    int daemons = 6;
    /// Probability that a message is lost.
    double loss = 0;
    Milliseconds maxDelay{5};
    Milliseconds requestInterval{333};
    /// Time from the begin of a run until its daemon suspects it.
    Milliseconds proofTime{52};
    /// A daemon is killed and started 300 ms later at this interval, unless it is zero.
    Milliseconds killInterval{0};
    /// Daemon 0 receives and sends nothing from this time on for 8 s, unless it is zero.
    Milliseconds cutAt{0};
    Milliseconds duration{30'000};
};

struct CrashSimulationResult {
    /// Targets that the request crashed.
    int crashes = 0;
    /// Crashes by runs of daemons that knew of no other run.
    int uninformed = 0;
    /// Crashes by trials without the votes of a majority.
    int withoutVotes = 0;
};

/// Plays one request that crashes each target on CrashLedger, without a network.
CrashSimulationResult simulateCrashes(const CrashSimulationOptions &options);

} // namespace cranberry::test
