// Defines TargetLoad, what one daemon believes of one target at the moment of a decision.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "placement/MemoryForecast.h"

namespace cranberry {

/// From the target's own lagging report and from this daemon's own sends since.
struct TargetLoad {
    TargetId target;
    DataCentreId dataCentre;
    /// Tokens of other daemons' requests by the last report, and of this daemon's requests now.
    Tokens residentTokens;
    Tokens capacityTokens;
    int running = 0;
    int waiting = 0;
    /// Age of the report at the moment of the decision.
    Milliseconds reportAge{0};
    /// Sends of this daemon that are under way.
    int ownRequests = 0;
    /// Requests of other daemons by the last report, running or waiting.
    int othersRequests = 0;
    /// Tokens that this daemon's requests hold on the target now.
    Tokens ownResidentTokens;
    /// Expected memory of all requests on the target, this daemon's and others'.
    MemoryForecast forecast;
    /// Prompt tokens of this daemon's sends that have not yielded a first token yet.
    Tokens ownPrefillTokens;
    /// True if the prefix hashes to this target: every daemon sends it here first, so that it is
    /// cached on few targets.
    bool preferredForPrefix = false;
};

} // namespace cranberry
