#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "http/HttpEndpoint.h"
#include "http/ListenerLimits.h"
#include "relay/AdmissionSettings.h"
#include "relay/RetryLimits.h"
#include "relay/StalenessPlan.h"

namespace cranberry {

struct SettingsReading;

/// The memory of this machine. Thread-safe.
Bytes defaultMemory();

/// The part of @p memory, that of a process, that callers may make it hold. The rest is for the
/// program, what it knows of the fleet, and memory that is free but not returned to the system.
/// Thread-safe.
Bytes callerMemoryCapacity(Bytes memory);

/// The number of descriptors that this process may open. Thread-safe.
int descriptorLimit();

/// The startup settings of a relay daemon.
struct RelaySettings {
    VmId vm;
    DataCentreId dataCentre;
    HttpEndpoint callers;
    HttpEndpoint readiness;
    HttpEndpoint peer;
    HttpEndpoint store;
    RetryLimits retries;
    AdmissionSettings admission;
    StalenessBounds staleness;
    /// Interval at which targets renew their entries; an entry expires after three intervals. 0 if
    /// unknown.
    Milliseconds targetHeartbeat{0};
    /// The whole fleet starts for the first time, not only this daemon.
    bool isFirstStart = false;
    /// Maximum size of an answer of a target that is not a stream.
    Bytes maxAnswer{4 * 1024 * 1024};
    /// Maximum time from the first byte of a caller's request to its last one.
    Milliseconds requestTimeout = ListenerLimits().requestTimeout;
    /// Maximum time from the end of a response until the system has taken all of its bytes.
    Milliseconds responseTimeout = ListenerLimits().responseTimeout;
    /// Memory of the process, above which it would be killed.
    Bytes memory{defaultMemory()};
    /// Descriptors that the process may open. A third of them is for connections of callers, a
    /// quarter for those of other daemons, the rest for connections to targets and the store.
    int descriptors{descriptorLimit()};
    /// Time from the stop signal until the process is killed.
    Milliseconds grace{8000};
};

/// Reads the settings file; docs/OPERATIONS.md lists its fields. Replaces what is invalid, so that
/// a daemon can run with each file without a fatal fault. Thread-safe.
SettingsReading readRelaySettings(const QByteArray &json);

/// As above, but each fault is an error: BadRequest naming the first faulty field, its value and
/// what is allowed. Thread-safe.
Result<RelaySettings> parseRelaySettings(const QByteArray &json);

} // namespace cranberry
