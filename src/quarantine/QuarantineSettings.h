#pragma once

#include "base/Units.h"

namespace cranberry {

/// Time limits and bounds of quarantine.
struct QuarantineSettings {
    /// Time for which a request that crashed two targets is refused.
    Milliseconds quarantineDuration{600'000};
    /// Time after which a suspect that is not running is cleared.
    Milliseconds suspicionPeriod{600'000};
    /// A running suspect is cleared once it has run for this time and for survivalFactor times as
    /// long as it ran before the crash.
    Milliseconds minSurvivalTime{10'000};
    int survivalFactor = 2;
    /// If at least massDeathCount targets die within this time, the cause is a common failure such
    /// as a rack or a switch, not the requests.
    Milliseconds massDeathWindow{2000};
    int massDeathCount = 3;
    /// Maximum share of a service's targets that run a suspect at once, but at least one target.
    /// They accept no other new work meanwhile.
    double probationShare = 0.2;
    /// Time after which another daemon's probation expires if the message about its end is lost.
    Milliseconds probationLease{120'000};
    /// Time for which a daemon with peers announces a probation before it starts. Daemons that lose
    /// the same target detect it at the same time and would choose the same next target.
    Milliseconds reservationDelay{300};
    /// Time after which an unused reservation expires.
    Milliseconds reservationTimeout{3000};
    int maxSuspects = 4096;
    int maxQuarantined = 1024;
};

} // namespace cranberry
