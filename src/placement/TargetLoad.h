#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "placement/MemoryForecast.h"

namespace cranberry {

/// One daemon's estimate of the load of one target at the time of a decision. Combines the target's
/// last load report with this daemon's sends since that report.
struct TargetLoad {
    TargetId target;
    DataCentreId dataCentre;
    /// Resident tokens: of other daemons' requests as last reported, and of this daemon's requests
    /// now.
    Tokens residentTokens;
    Tokens capacityTokens;
    int running = 0;
    int waiting = 0;
    /// Age of the load report at the time of the decision.
    Milliseconds reportAge{0};
    /// Requests of this daemon in progress on the target.
    int ownRequests = 0;
    /// Requests of other daemons, running or waiting: those in the last report and those granted by
    /// this daemon.
    int remoteRequests = 0;
    /// Tokens that this daemon's requests hold on the target now.
    Tokens ownResidentTokens;
    /// Predicted memory use of all requests on the target, of this daemon and of others.
    MemoryForecast forecast;
    /// Prompt tokens of requests that have not produced a first token: sent or granted by this
    /// daemon.
    Tokens ownPrefillTokens;
    /// True if the target is among the few that the prefix hashes to. Every daemon prefers these
    /// targets, so the prefix is cached on few targets.
    bool preferredForPrefix = false;
};

} // namespace cranberry
