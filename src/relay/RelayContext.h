// Defines RelayContext, what all requests of a relaying daemon share.
#pragma once

#include "base/Ids.h"
#include "relay/CallerProtocol.h"
#include "relay/DistanceCosts.h"
#include "relay/RelayCounters.h"
#include "relay/RetryShare.h"
#include "relay/TargetProtocol.h"

#include <functional>

namespace cranberry {

class CrashGuard;
class EngineReports;
class HttpClient;
class OutputForecast;
class TargetDirectory;
class TargetAnnouncements;
class TimerService;
class WaitingRequests;
struct RoomForecast;

/// Every member outlives every request.
struct RelayContext {
    TimerService &timers;
    HttpClient &client;
    TargetDirectory &targets;
    TargetAnnouncements &news;
    EngineReports &reports;
    WaitingRequests &waiting;
    RetryShare &retries;
    OutputForecast &outputs;
    RoomForecast &rooms;
    CrashGuard &crashes;
    RelayCounters &counters;
    const CallerProtocol &callers;
    const TargetProtocol &protocol;
    DataCentreId dataCentre;
    /// Other daemons tell what they place where, so that engines need not be asked.
    std::function<bool()> knowsPeers;
    std::function<DistanceCosts()> distance;
    /// The store, or those who watch it, tell of targets that leave.
    std::function<bool()> hearsOfTargets;
};

} // namespace cranberry
