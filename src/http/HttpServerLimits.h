#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits on the resources that one caller can make an HttpServer hold.
struct HttpServerLimits {
    Bytes body{4 * 1024 * 1024};
    Bytes headers{32 * 1024};
    int connections = 4096;
    /// Maximum size of response data buffered for a caller that does not read it.
    Bytes maxUnreadResponse{1024 * 1024};
    /// Maximum time from the first byte of a request until the complete request is received.
    Milliseconds requestTimeout{30'000};
    /// Maximum time for which a connection may stay open without a request.
    Milliseconds idleTimeout{120'000};
};

} // namespace cranberry
