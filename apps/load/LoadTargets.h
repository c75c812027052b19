// Defines LoadTargets, where a load goes and what is asked about it.
#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QList>

namespace cranberry::load {

struct LoadTargets {
    /// Entry VMs, among which a balancer would choose.
    QList<HttpEndpoint> gateways;
    /// Stand-in targets, asked for preemptions and runs; may be empty.
    QList<HttpEndpoint> targets;
    /// Of the operator; only needed to change the policy.
    QByteArray operatorToken;
};

} // namespace cranberry::load
