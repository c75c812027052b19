// Defines HttpServerLimits, the bounds that keep one caller from exhausting a server.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct HttpServerLimits {
    Bytes body{4 * 1024 * 1024};
    Bytes headers{32 * 1024};
    int connections = 4096;
    /// Bytes of an answer that may wait for a caller that does not read them.
    Bytes unreadAnswer{1024 * 1024};
    /// Time in which a request must arrive whole, counted from its first byte.
    Milliseconds requestArrival{30'000};
    /// Time for which a connection may stay open with no request on it.
    Milliseconds idleConnection{120'000};
};

} // namespace cranberry
