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
    /// Plain HTTP services; some of their calls must not be repeated.
    Plain,
};

/// Latency that matters most to the users of a service; determines the horizon, margin and prompt
/// budget of placement.
enum class Objective {
    Stall,
    InterToken,
};

/// Policy by which a target is chosen. The first three are baselines for comparison.
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
    /// Default for requests that do not specify it. If true, each request runs at most once.
    bool atMostOnce = false;
    /// Maximum accepted probability that a target runs out of memory within the horizon.
    double preemptionChance = 0.02;
    /// Maximum number of requests of all workspaces that wait for a target in one daemon.
    int queueLimit = 256;
    Milliseconds defaultDeadline{120'000};
    /// Whether the targets of the service refuse orders with an outdated fencing number.
    bool targetsCheckFencing = true;
    /// Maximum number of concurrent loads in the service.
    int concurrentLoads = 1;
};

struct ModelConfiguration {
    ServiceId service;
    QString version;
    Tokens maxTokens{4096};
};

struct WorkspaceLimits {
    /// Maximum number of concurrent requests in one daemon; 0 means no limit.
    int concurrentRequests = 0;
    /// Maximum requests per second in one daemon; 0 means no limit.
    double requestsPerSecond = 0;
};

struct WorkspaceConfiguration {
    /// SHA-256 of each accepted key, as 64 lower-case hex digits; the keys are never stored.
    QList<QByteArray> keyHashes;
    QList<ServiceId> services;
    /// Relative share of an overloaded service among workspaces.
    double weight = 1.0;
    WorkspaceLimits limits;
};

struct TargetConfiguration {
    ServiceId service;
    HttpEndpoint endpoint;
    DataCentreId dataCentre;
    /// Models that the target serves; empty for plain services.
    QList<ModelId> models;
};

/// One version of the configuration by which operators define what the system routes across.
/// Immutable once published: it is shared between threads as std::shared_ptr<const Configuration>,
/// and a request keeps the version that it was admitted under.
struct Configuration {
    ConfigurationVersion version;
    QMap<ServiceId, ServiceConfiguration> services;
    QMap<ModelId, ModelConfiguration> models;
    QMap<WorkspaceId, WorkspaceConfiguration> workspaces;
    QMap<TargetId, TargetConfiguration> targets;
};

} // namespace cranberry
