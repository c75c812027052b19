#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "quarantine/RequestFingerprint.h"

#include <QByteArray>

#include <memory>

namespace cranberry {

struct Configuration;

/// A caller's request for a generation, parsed and checked.
struct GenerationRequest {
    RequestId id;
    WorkspaceId workspace;
    ServiceId service;
    ModelId model;
    /// The configuration that the request was admitted under; used until the request ends.
    std::shared_ptr<const Configuration> configuration;
    /// Path of the request at the target: completions or chat completions.
    QByteArray path;
    /// JSON body of the request to the target.
    QByteArray body;
    Tokens promptTokens;
    Tokens maxTokens;
    int priority = 0;
    /// Hash of workspace and service. Engines share cached prefixes only between requests with
    /// the same salt.
    QByteArray cacheSalt;
    quint64 prefixHash = 0;
    MonotonicTime deadline;
    bool atMostOnce = false;
    /// SHA-256 of workspace and idempotency key; empty if the caller sent no key.
    QByteArray claimKey;
    /// SHA-256 of the parts that have to match for a repeated key to name the same request.
    QByteArray fingerprint;
    /// Identifies a repeated request that crashes targets.
    RequestFingerprint crashFingerprint;
};

} // namespace cranberry
