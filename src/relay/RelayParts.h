#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpListener.h"
#include "relay/BrittleServices.h"
#include "relay/CrashGuard.h"
#include "relay/DataCentreHeads.h"
#include "relay/EngineReports.h"
#include "relay/FleetAdmission.h"
#include "relay/GenerationStops.h"
#include "relay/LimitExchange.h"
#include "relay/LoadExchange.h"
#include "relay/OutputForecast.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerForwarding.h"
#include "relay/PeerState.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/RelayGateway.h"
#include "relay/RelayProtocols.h"
#include "relay/RelayRetryBudget.h"
#include "relay/RelaySettings.h"
#include "relay/RetryExchange.h"
#include "relay/RoomForecast.h"
#include "relay/ServiceDurations.h"
#include "relay/ServicePressure.h"
#include "relay/ShutdownPlan.h"
#include "relay/StoreFeed.h"
#include "relay/StoreMirror.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetEntries.h"
#include "relay/TargetLimits.h"
#include "relay/TargetSpeeds.h"
#include "relay/WaitingRequests.h"

namespace cranberry {

/// The components of a relay daemon. Members in order of their dependencies.
struct RelayParts {
    RelayParts(const RelaySettings &startSettings, const RelayProtocols &platformProtocols);

    RelaySettings settings;
    RelayProtocols protocols;
    RelayCounters counters;
    CallerMemory callerMemory;
    std::optional<ShutdownPlan> shutdown;
    QtTimerService timers;
    HttpClient client;
    TargetDirectory targets;
    TargetAvailability availability;
    TargetClient targetClient;
    TargetLimits limits;
    BrittleServices brittle;
    ReachMonitor reach;
    EngineReports reports;
    ServicePressure pressure;
    TargetSpeeds speeds;
    ServiceDurations durations;
    RelayRetryBudget retryBudget;
    OutputForecast outputForecast;
    RoomForecast roomForecast;
    PeerDirectory peers;
    PeerDatagrams datagrams;
    PeerForwarding forwarding;
    FleetAdmission admission;
    WaitingRequests waiting;
    DataCentreHeads heads;
    LoadExchange loads;
    LimitExchange limitExchange;
    RetryExchange retryExchange;
    TargetAnnouncements news;
    CrashGuard crashGuard;
    GenerationStops stops;
    RelayContext context;
    /// All keys of the operator: the configuration and evacuations.
    StoreMirror configuration;
    StoreMirror entries;
    TargetEntries targetEntries;
    PeerState peerState;
    StoreFeed feed;
    RelayGateway gateway;
    HttpListener callers;
    HttpListener readiness;
    HttpListener peerListener;
};

} // namespace cranberry
