#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits on the size of a request and on the time that a caller may take to send it.
/// The defaults are those of the project's own interface. They apply until a configuration is
/// loaded.
struct CallerLimits {
    Bytes headers{16 * 1024};
    Bytes body{4 * 1024 * 1024};
    /// Maximum time from the first byte of a request to the end of its headers.
    Milliseconds headerTimeout{3000};
    /// Maximum time without a request, and between two reads of a request body.
    Milliseconds idleTimeout{15000};
};

} // namespace cranberry
