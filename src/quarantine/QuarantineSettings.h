// Defines QuarantineSettings, the times and bounds of quarantine.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct QuarantineSettings {
    /// How long a request that crashed two targets is held back.
    Milliseconds quarantine{600'000};
    /// How long a suspect that does not run is remembered.
    Milliseconds suspicion{600'000};
    /// A suspect that has run so long, and longer than before the crash by the factor below, is
    /// cleared while it runs.
    Milliseconds leastSurvival{10'000};
    int survivalFactor = 2;
    /// Targets that die within this time of each other ...
    Milliseconds massWindow{2000};
    /// ... and are at least so many did not die of one request each: a rack or a switch went.
    int massDeaths = 3;
    /// So many of a service's targets run a suspect at once, but at least one may: they take no
    /// other new work meanwhile.
    double probationShare = 0.2;
    /// How long another daemon's probation of a target counts if its end is not heard.
    Milliseconds probationLease{120'000};
    /// How long a daemon that has others announces a probation before it starts: daemons that
    /// lose one target find out in the same moment and would choose the same one next.
    Milliseconds reservation{300};
    /// A reservation that is not used for so long is void.
    Milliseconds reservationLife{3000};
    int mostSuspects = 4096;
    int mostQuarantined = 1024;
};

} // namespace cranberry
