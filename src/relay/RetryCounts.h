// Defines RetryCounts, how many requests and retries a daemon has counted lately.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct RetryCounts {
    int requests = 0;
    int retries = 0;
    /// When another daemon said so.
    MonotonicTime heard;
};

} // namespace cranberry
