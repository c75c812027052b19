#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

/// How long a report of a peer is valid. Peers repeat it every 1.5 s.
constexpr Milliseconds PeerLoadTimeout{5000};

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
