#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpRequest.h"
#include "quarantine/RequestFingerprint.h"

#include <memory>

namespace cranberry {

struct Configuration;

/// A caller's call of a plain service, parsed and checked.
struct PlainRequest {
    RequestId id;
    WorkspaceId workspace;
    ServiceId service;
    std::shared_ptr<const Configuration> configuration;
    /// The request as sent to the target, without the caller's API key.
    HttpRequest upstream;
    MonotonicTime deadline;
    bool atMostOnce = false;
    QByteArray claimKey;
    QByteArray fingerprint;
    /// Identifies a repeated request that crashes targets.
    RequestFingerprint crashFingerprint;
};

} // namespace cranberry
