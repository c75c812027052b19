#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/CallerLimits.h"
#include "relay/RelayRoute.h"
#include "relay/RelayService.h"

#include <QHash>
#include <QList>

namespace cranberry {

/// One version of routes, services, keys and limits. Immutable once in force. Requests keep the
/// version with which they began.
struct RelayConfiguration {
    ConfigurationVersion version;
    /// The routes of each host, longest prefix first.
    QHash<QByteArray, QList<RelayRoute>> routes;
    QHash<ServiceId, RelayService> services;
    CallerLimits limits;
    /// Requests need a key, except on open routes.
    bool needsKey = false;
    QHash<QByteArray, WorkspaceId> workspaceOfKey;
    /// Priorities of workspaces, which take precedence over those of routes.
    QHash<WorkspaceId, int> priorityOfWorkspace;
};

/// Sorts each host's routes as findRoute() expects them.
void sortRoutes(RelayConfiguration &configuration);

/// The total number of routes of all hosts. Thread-safe.
qsizetype routeCount(const RelayConfiguration &configuration);

/// Returns the route with the longest prefix of @p target, or null if there is none. Precondition:
/// the routes are sorted. Thread-safe.
const RelayRoute *findRoute(const RelayConfiguration &configuration, const QByteArray &host,
                            const QByteArray &target);

/// Returns the service for the request @p id: the same one at every daemon and each time.
/// Thread-safe.
ServiceId serviceFor(const RelayRoute &route, const RequestId &id);

} // namespace cranberry
