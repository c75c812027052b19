// Defines DaemonSettings, what a daemon is told about itself at its start.
#pragma once

#include "base/EventLog.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "delivery/RunRegistry.h"
#include "delivery/StallThreshold.h"
#include "http/HttpEndpoint.h"
#include "http/HttpServerLimits.h"

#include <QByteArray>

namespace cranberry {

struct DaemonSettings {
    VmId vm;
    DataCentreId dataCentre;
    HttpEndpoint gateway;
    HttpEndpoint peer;
    /// Empty if the daemon runs without peers.
    QString peerSecretFile;
    HttpEndpoint platform;
    QString operatorTokenFile;
    LogLevel logLevel = LogLevel::Info;
    HttpServerLimits http;
    StallLimits stall;
    RunRetention retention;
    int workers = 4;
    /// Time for which a draining daemon still accepts connections, so that a balancer that
    /// lags finds nobody refused.
    Milliseconds drainListen{5000};
    Milliseconds loadPoll{500};
};

/// Reads the settings file's content. Error BadRequest: one line that names the path of the
/// member at fault, what is allowed and what was found. Thread-safe.
Result<DaemonSettings> parseSettings(const QByteArray &json);

} // namespace cranberry
