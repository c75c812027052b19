#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

/// How long a report of a peer is valid. Peers repeat it every 1.5 s.
constexpr Milliseconds PeerLoadTimeout{5000};
/// As above, while requests wait for the room: peers then repeat their loads each 0.5 s. Room of a
/// daemon that has ended would otherwise stay unused for longer than requests take.
constexpr Milliseconds ContendedLoadTimeout{1200};
/// All peers have repeated their loads this long after requests began to wait.
constexpr Milliseconds ContentionKnownDelay{1000};

/// The load that another daemon reports at a target.
struct PeerLoad {
    int running = 0;
    /// Memory that its requests are forecast to take.
    Tokens tokens;
    /// Prompts that the engine has not read yet.
    Tokens unread;
    /// Copies of its generations that run at other engines.
    Tokens backup;
    MonotonicTime heardAt;
    /// The data centre of the daemon, or the one whose total this is.
    DataCentreId dataCentre;
};

} // namespace cranberry
