// Defines Configuration, the document by which operators say what the system routes across.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QList>
#include <QMap>

namespace cranberry {

enum class ServiceKind {
    /// Model engines that generate tokens.
    Model,
    /// Plain HTTP services; some of their calls may not be repeated.
    Plain,
};

/// What a service's users weigh most; sets horizon, margin and prompt budget of placement.
enum class Objective {
    Stall,
    InterToken,
};

/// How a target is chosen. The first three are baselines to measure against.
enum class PolicyName {
    RoundRobin,
    LeastRequests,
    TwoChoices,
    Forecast,
};

struct ServiceConfiguration {
    ServiceKind kind = ServiceKind::Model;
    Objective objective = Objective::Stall;
    PolicyName policy = PolicyName::Forecast;
    /// Default for requests that do not say: true runs each at most once.
    bool atMostOnce = false;
    /// Highest accepted chance that a target runs out of memory within the horizon.
    double preemptionChance = 0.02;
    /// Requests that may wait for a target, over all workspaces, in one daemon.
    int queueLimit = 256;
    Milliseconds defaultDeadline{120'000};
    /// Whether its targets refuse orders with an old fencing number.
    bool targetsCheckFencing = true;
    /// Loads that may be under way at once over the service.
    int concurrentLoads = 1;
};

struct ModelConfiguration {
    ServiceId service;
    QString version;
    Tokens maxTokens{4096};
};

struct WorkspaceLimits {
    /// Requests under way at once in one daemon; 0 is without limit.
    int concurrentRequests = 0;
    /// Requests a second in one daemon; 0 is without limit.
    double requestsPerSecond = 0;
};

struct WorkspaceConfiguration {
    /// SHA-256 of each accepted key, as 64 lower-case hex digits; keys themselves are never kept.
    QList<QByteArray> keyHashes;
    QList<ServiceId> services;
    /// Share of a crowded service relative to other workspaces.
    double weight = 1.0;
    WorkspaceLimits limits;
};

struct TargetConfiguration {
    ServiceId service;
    HttpEndpoint endpoint;
    DataCentreId dataCentre;
    /// Models that it serves; empty for plain services.
    QList<ModelId> models;
};

/// One whole version. Immutable once published: it is shared between threads by
/// std::shared_ptr<const Configuration>, and a request keeps the one it was admitted under.
struct Configuration {
    ConfigurationVersion version;
    QMap<ServiceId, ServiceConfiguration> services;
    QMap<ModelId, ModelConfiguration> models;
    QMap<WorkspaceId, WorkspaceConfiguration> workspaces;
    QMap<TargetId, TargetConfiguration> targets;
};

} // namespace cranberry
