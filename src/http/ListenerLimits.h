#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits on the connections of a listener that do not depend on the configuration. The defaults
/// are beyond what callers need who keep the limits of the configuration.
struct ListenerLimits {
    /// Maximum time from the first byte of a request to its last one.
    Milliseconds requestTimeout{60'000};
    /// Maximum time from the end of a response until the system has taken all of its bytes.
    Milliseconds responseTimeout{60'000};
    /// Open connections; above it, those that wait for a request are closed for new ones.
    int connections = 4096;
};

} // namespace cranberry
