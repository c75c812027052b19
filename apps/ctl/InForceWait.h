// Defines the wait until a version is in force at every live daemon.
#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QJsonObject>
#include <QList>
#include <QStringList>

namespace cranberry::ctl {

class OperatorClient;

/// Asks until every live daemon reports @p version or @p limit has passed, and returns those
/// that do not, each with what it reports; empty if all do. With one daemon in @p daemons, the
/// members that it knows are the live daemons; with several, just those are asked.
QStringList waitInForce(OperatorClient &client, const QList<HttpEndpoint> &daemons, qint64 version,
                        Milliseconds limit);

/// Of the answer to /v1/status, the live members that do not report @p version yet.
/// Thread-safe.
QStringList membersBehind(const QJsonObject &status, qint64 version);

} // namespace cranberry::ctl
