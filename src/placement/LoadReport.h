// Defines LoadReport, what a target said of its own load.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct LoadReport {
    Incarnation incarnation;
    Tokens residentTokens;
    /// 0 if the target has no token memory, as a plain service.
    Tokens capacityTokens;
    int running = 0;
    int waiting = 0;
    /// Preemptions since the target started.
    qint64 preemptions = 0;
    bool leaving = false;
    /// Time from the making of the report to its arrival.
    Milliseconds age{0};
};

} // namespace cranberry
