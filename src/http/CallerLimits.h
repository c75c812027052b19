// Defines CallerLimits, what a caller may send and how long it may take.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// The defaults hold until a configuration is known; they are those of the own interface.
struct CallerLimits {
    Bytes headers{16 * 1024};
    Bytes body{4 * 1024 * 1024};
    /// From the first byte of a request to the end of its headers.
    Milliseconds headerTime{3000};
    /// Without a request, and between two reads of a body.
    Milliseconds idle{15000};
};

} // namespace cranberry
