#pragma once

#include "base/Units.h"

namespace cranberry {

/// The load that a target reports about itself.
struct LoadReport {
    Incarnation incarnation;
    Tokens residentTokens;
    /// 0 if the target has no token memory, as in a plain service.
    Tokens capacityTokens;
    int running = 0;
    int waiting = 0;
    /// Preemptions since the target started.
    qint64 preemptions = 0;
    bool leaving = false;
    /// Time from the creation of the report to its arrival.
    Milliseconds age{0};
};

} // namespace cranberry
