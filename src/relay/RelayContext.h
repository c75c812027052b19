#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/CallerProtocol.h"
#include "relay/DistanceCosts.h"
#include "relay/RelayCounters.h"
#include "relay/RelayRetryBudget.h"
#include "relay/TargetProtocol.h"

#include <functional>
#include <optional>

namespace cranberry {

class BrittleServices;
class CallerMemory;
class CrashGuard;
class EngineReports;
class FleetAdmission;
class GenerationStops;
class HttpClient;
class OutputForecast;
class PeerForwarding;
class ReachMonitor;
class ServiceDurations;
class ServicePressure;
class TargetDirectory;
class TargetAnnouncements;
class TargetAvailability;
class TargetClient;
class TargetLimits;
class TargetSpeeds;
class TimerService;
class WaitingRequests;
struct RoomForecast;
struct ShutdownPlan;

/// The services shared by all requests of a relay daemon. Every member outlives all requests.
struct RelayContext {
    TimerService &timers;
    /// For other daemons; everything for targets is sent with targetClient.
    HttpClient &client;
    TargetClient &targetClient;
    TargetDirectory &targets;
    TargetAvailability &availability;
    TargetLimits &limits;
    BrittleServices &brittle;
    ReachMonitor &reach;
    PeerForwarding &forwarding;
    TargetAnnouncements &news;
    EngineReports &reports;
    FleetAdmission &admission;
    ServicePressure &pressure;
    TargetSpeeds &speeds;
    ServiceDurations &durations;
    WaitingRequests &waiting;
    RelayRetryBudget &retryBudget;
    OutputForecast &outputForecast;
    RoomForecast &roomForecast;
    CrashGuard &crashGuard;
    GenerationStops &stops;
    RelayCounters &counters;
    CallerMemory &callerMemory;
    /// Unset until the daemon is told to shut down.
    const std::optional<ShutdownPlan> &shutdown;
    const CallerProtocol &callerProtocol;
    const TargetProtocol &targetProtocol;
    /// Maximum size of an answer of a target that is not a stream.
    Bytes maxAnswer;
    /// This daemon.
    VmId vm;
    DataCentreId dataCentre;
    /// Other daemons report their placements, so that engines need not be asked for their load.
    std::function<bool()> hasPeers;
    std::function<DistanceCosts()> distanceCosts;
    /// The store, or peers that watch it, report targets that leave.
    std::function<bool()> hasTargetUpdates;
};

} // namespace cranberry
