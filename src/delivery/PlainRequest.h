// Defines PlainRequest, one caller's call of a plain service as delivery runs it.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpRequest.h"
#include "quarantine/RequestFingerprint.h"

#include <memory>

namespace cranberry {

struct Configuration;

struct PlainRequest {
    RequestId id;
    WorkspaceId workspace;
    ServiceId service;
    std::shared_ptr<const Configuration> configuration;
    /// As it goes to the target, without the caller's key.
    HttpRequest upstream;
    MonotonicTime deadline;
    bool atMostOnce = false;
    QByteArray claimKey;
    QByteArray fingerprint;
    /// By which a request that crashes targets is known again.
    RequestFingerprint crashFingerprint;
};

} // namespace cranberry
