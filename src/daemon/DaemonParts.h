#pragma once

#include "admission/AdmissionQueue.h"
#include "admission/CreditExchange.h"
#include "admission/PlacementRouter.h"
#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "base/WorkerPool.h"
#include "claims/ClaimStore.h"
#include "configuration/ConfigurationPropagator.h"
#include "configuration/ConfigurationStore.h"
#include "daemon/DaemonSettings.h"
#include "daemon/Dispatcher.h"
#include "delivery/AttachClient.h"
#include "delivery/AttachServer.h"
#include "delivery/DeliveryContext.h"
#include "delivery/RunRegistry.h"
#include "delivery/TargetCancels.h"
#include "gateway/Gateway.h"
#include "gateway/OperatorApi.h"
#include "http/CallerMemory.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "membership/Membership.h"
#include "peer/PeerLinks.h"
#include "placement/TargetPoller.h"
#include "placement/TargetTable.h"
#include "platformstore/HttpKeyValueStore.h"
#include "quarantine/Quarantine.h"

namespace cranberry {

/// The components of a daemon in order of construction. Members are destroyed in reverse order,
/// so that each outlives the members that refer to it.
struct DaemonParts {
    DaemonParts(const DaemonSettings &settings, const QByteArray &peerSecret,
                const QByteArray &operatorToken);

    QtTimerService timers;
    WorkerPool workers;
    /// What responses of targets and of the platform's service hold.
    CallerMemory responseMemory;
    HttpClient client;
    HttpKeyValueStore platform;
    PeerLinks peers;
    /// The port on which PeerLinks listens, or the error. Initialized before `members`, which
    /// announces the port to the other daemons.
    Result<quint16> peerPort;
    Membership members;
    ConfigurationStore configuration;
    ConfigurationPropagator spread;
    TargetTable targets;
    AdmissionQueue admission;
    CreditExchange credits;
    PlacementRouter router;
    Quarantine quarantine;
    Dispatcher dispatcher;
    TargetPoller poller;
    TargetCancels cancels;
    ClaimStore claims;
    DeliveryContext delivery;
    RunRegistry runs;
    AttachServer attachHolder;
    AttachClient attachedAnswers;
    Gateway gateway;
    OperatorApi operatorApi;
    HttpServer server;
    std::unique_ptr<TimerSubscription> drainTimer;

private:
    OperatorStatus operatorStatus();
};

} // namespace cranberry
