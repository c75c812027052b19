#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QList>

namespace cranberry::load {

/// Endpoints of the fleet under load.
struct LoadTargets {
    /// Entry VMs over which the requests are spread, as by a load balancer.
    QList<HttpEndpoint> gateways;
    /// Stand-in targets, queried for preemptions and runs; may be empty.
    QList<HttpEndpoint> targets;
    /// The operator token; only needed to change the placement policy.
    QByteArray operatorToken;
};

} // namespace cranberry::load
