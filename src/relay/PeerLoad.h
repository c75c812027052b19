// Defines PeerLoad, what another daemon says that it has at a target.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

/// What a peer said holds this long; it repeats it every 1.5 s.
constexpr Milliseconds PeerLoadHolds{5000};

struct PeerLoad {
    int running = 0;
    /// Memory that its requests will take by the forecast.
    Tokens tokens;
    /// Prompts that the engine has not read yet.
    Tokens unread;
    /// Copies of its generations at other engines.
    Tokens backup;
    MonotonicTime heard;
    /// Whose it is: that of the daemon, or of all of it together.
    DataCentreId dataCentre;
};

} // namespace cranberry
