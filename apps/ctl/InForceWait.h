#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QJsonObject>
#include <QList>
#include <QStringList>

namespace cranberry::ctl {

class OperatorClient;

/// Polls until every live daemon reports @p version as in force or @p timeout has passed. Returns
/// the daemons that do not report it, each with the version or error that it does report; empty
/// if all do. If @p daemons holds a single daemon, that daemon and the live members in its status
/// are checked; if it holds several, exactly those are checked. Blocks the calling thread.
QStringList waitUntilInForce(OperatorClient &client, const QList<HttpEndpoint> &daemons,
                             qint64 version, Milliseconds timeout);

/// Returns the live members in @p status, a response to /v1/status, that do not report @p version
/// yet. The daemon that sent the response is left out.
/// Thread-safe.
QStringList laggingMembers(const QJsonObject &status, qint64 version);

} // namespace cranberry::ctl
