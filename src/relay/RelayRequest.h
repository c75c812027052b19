#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpHeaders.h"

#include <optional>

namespace cranberry {

/// A request that is forwarded without reading its body.
struct RelayRequest {
    RequestId id;
    QByteArray method;
    /// Path and query as received.
    QByteArray target;
    QByteArray host;
    /// Headers to forward; excludes those that the system sets itself.
    HttpHeaders headers;
    QByteArray body;
    /// API key of the caller; empty if none was sent.
    QByteArray key;
    /// Time that the caller waits, from the arrival of the request.
    std::optional<Milliseconds> callerTimeout;
    Tokens promptTokens;
    Tokens maxOutput;
    /// Estimate of the caller: accurate at the median, but often far off.
    std::optional<Tokens> expectedOutput;
};

} // namespace cranberry
