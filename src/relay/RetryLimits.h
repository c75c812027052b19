#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits for the whole fleet, for each service and over any time window of the given length.
struct RetryLimits {
    /// Retries per request.
    double ratio = 0.2;
    /// Retries allowed in addition to the ratio.
    double slack = 50;
    Milliseconds window{10000};
};

} // namespace cranberry
