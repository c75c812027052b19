// Defines GenerationRequest, one caller's request for a generation as delivery runs it.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "quarantine/RequestFingerprint.h"

#include <QByteArray>

#include <memory>

namespace cranberry {

struct Configuration;

struct GenerationRequest {
    RequestId id;
    WorkspaceId workspace;
    ServiceId service;
    ModelId model;
    /// The configuration it was admitted under and keeps to its end.
    std::shared_ptr<const Configuration> configuration;
    /// Path at the target: completions or chat completions.
    QByteArray path;
    /// JSON body for the target.
    QByteArray body;
    Tokens promptTokens;
    Tokens maxTokens;
    int priority = 0;
    /// Hash of workspace and service: engines share cached prefixes only under one salt.
    QByteArray cacheSalt;
    quint64 prefixHash = 0;
    MonotonicTime deadline;
    bool atMostOnce = false;
    /// SHA-256 of workspace and idempotency key; empty if the caller gave none.
    QByteArray claimKey;
    /// SHA-256 of the parts of the request that make it the same request.
    QByteArray fingerprint;
    /// By which a request that crashes targets is known again.
    RequestFingerprint crashFingerprint;
};

} // namespace cranberry
