// Defines RelaySettings, what a relaying daemon is told at its start.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "http/HttpEndpoint.h"
#include "relay/RetryShare.h"
#include "relay/StalenessPlan.h"

namespace cranberry {

struct RelaySettings {
    VmId vm;
    DataCentreId dataCentre;
    HttpEndpoint callers;
    HttpEndpoint readiness;
    HttpEndpoint peer;
    HttpEndpoint store;
    RetryLimits retries;
    StalenessBounds staleness;
    /// Targets renew their entries this often; an entry lapses after three times that. 0 if not
    /// known.
    Milliseconds targetHeartbeat{0};
    /// The whole fleet starts for the first time, not this daemon alone.
    bool isFirstStart = false;
    /// A stop by signal is followed by a kill after this time.
    Milliseconds grace{8000};
};

/// Reads the settings file; docs/OPERATIONS.md lists its fields. Error: BadRequest naming the
/// field, its value and what is allowed. Thread-safe.
Result<RelaySettings> parseRelaySettings(const QByteArray &json);

} // namespace cranberry
