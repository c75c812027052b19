// Defines DaemonParts, the objects that a daemon consists of, in the order of their making.
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
#include "delivery/AttachHolder.h"
#include "delivery/AttachedAnswers.h"
#include "delivery/DeliveryContext.h"
#include "delivery/RunRegistry.h"
#include "delivery/TargetCancels.h"
#include "gateway/Gateway.h"
#include "gateway/OperatorApi.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "membership/Membership.h"
#include "peer/PeerLinks.h"
#include "placement/TargetPoller.h"
#include "placement/TargetTable.h"
#include "platformstore/HttpKeyValueStore.h"
#include "quarantine/Quarantine.h"

namespace cranberry {

/// Members are destroyed in reverse, so that each outlives what refers to it.
struct DaemonParts {
    DaemonParts(const DaemonSettings &settings, const QByteArray &peerSecret,
                const QByteArray &operatorToken);

    QtTimerService timers;
    WorkerPool workers;
    HttpClient client;
    HttpKeyValueStore platform;
    PeerLinks peers;
    /// Known only once the links listen, and told to the other members.
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
    AttachHolder attachHolder;
    AttachedAnswers attached;
    Gateway gateway;
    OperatorApi operators;
    HttpServer server;
    std::unique_ptr<TimerSubscription> drainTimer;

private:
    OperatorStatus operatorStatus();
};

} // namespace cranberry
