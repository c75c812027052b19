// Defines PeerLoad, what another daemon says that it has at a target.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct PeerLoad {
    int running = 0;
    /// Memory that its requests will take by the forecast.
    Tokens tokens;
    /// Prompts that the engine has not read yet.
    Tokens unread;
    MonotonicTime heard;
};

} // namespace cranberry
