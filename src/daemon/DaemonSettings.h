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

/// The content of the settings file that a daemon reads at startup.
struct DaemonSettings {
    VmId vm;
    DataCentreId dataCentre;
    HttpEndpoint gateway;
    HttpEndpoint peer;
    /// File with the secret that all daemons share. Daemon::start() fails if the path is empty.
    QString peerSecretFile;
    HttpEndpoint platform;
    QString operatorTokenFile;
    LogLevel logLevel = LogLevel::Info;
    HttpServerLimits http;
    StallLimits stall;
    RunRetention retention;
    int workers = 4;
    /// Time for which a draining daemon still accepts connections, so that no request is refused
    /// before load balancers have seen that the daemon is not ready.
    Milliseconds drainListenTime{5000};
    Milliseconds loadPollInterval{500};
};

/// Parses the content of a settings file. Error BadRequest: one line with the path of the first
/// invalid member, the allowed values and the value found. Thread-safe.
Result<DaemonSettings> parseSettings(const QByteArray &json);

} // namespace cranberry
