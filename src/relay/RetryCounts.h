#pragma once

#include "base/Units.h"

namespace cranberry {

/// The recent requests and retries of one daemon.
struct RetryCounts {
    int requests = 0;
    int retries = 0;
    /// When the counts of another daemon arrived.
    MonotonicTime receivedAt;
};

} // namespace cranberry
