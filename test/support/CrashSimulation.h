// Defines a simulation of daemons that receive harmful requests over and over.
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
    /// The harm is in a part that harmful requests share, instead of in one request that repeats.
    bool isInPart = false;
    /// Interval of sound requests; none if zero.
    Milliseconds soundInterval{0};
    /// Targets that requests with a harmful part share with sound ones; each is down for 2.5 s
    /// after a crash. All requests there that have not begun to be answered are suspected.
    int targets = 12;
    /// Time from the begin of a run with a harmful part until its target crashes.
    Milliseconds crashTime{200};
    /// Parts of which each prompt has one beside the second, which is the harmful one or sound.
    int firstParts = 8;
    /// Time from the begin of a sound run until its daemon knows that the target survived.
    Milliseconds clearTime{400};
};

struct CrashSimulationResult {
    /// Targets that harmful requests crashed.
    int crashes = 0;
    /// Crashes by runs of daemons that knew of no other run.
    int uninformed = 0;
    /// Crashes by trials without the votes of a majority.
    int withoutVotes = 0;
    /// Runs that began later than 3 s after the fifth crash.
    int late = 0;
    /// Sound requests, and those that ran, from 6 s after the fifth crash on, or the last one if
    /// there were fewer.
    int soundLater = 0;
    int soundRanLater = 0;
};

/// Plays requests that crash their targets on CrashLedger and CrashAdmission, without a network.
CrashSimulationResult simulateCrashes(const CrashSimulationOptions &options);

} // namespace cranberry::test
