// Defines RelayParts, what a relaying daemon is made of.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpListener.h"
#include "relay/CrashGuard.h"
#include "relay/DataCentreHeads.h"
#include "relay/EngineReports.h"
#include "relay/LoadExchange.h"
#include "relay/OutputForecast.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerState.h"
#include "relay/RelayContext.h"
#include "relay/RelayGateway.h"
#include "relay/RelayProtocols.h"
#include "relay/RelaySettings.h"
#include "relay/RetryShare.h"
#include "relay/RoomForecast.h"
#include "relay/StoreFeed.h"
#include "relay/StoreMirror.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetEntries.h"
#include "relay/WaitingRequests.h"

namespace cranberry {

/// Members in the order in which they depend on each other.
struct RelayParts {
    RelayParts(const RelaySettings &given, const RelayProtocols &spoken);

    RelaySettings settings;
    RelayProtocols protocols;
    RelayCounters counters;
    QtTimerService timers;
    HttpClient client;
    TargetDirectory targets;
    EngineReports reports;
    WaitingRequests waiting;
    RetryShare retries;
    OutputForecast outputs;
    RoomForecast rooms;
    PeerDirectory peers;
    PeerDatagrams datagrams;
    DataCentreHeads heads;
    LoadExchange loads;
    TargetAnnouncements news;
    CrashGuard crashes;
    RelayContext context;
    /// All that the operator wrote: the configuration and evacuations.
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
