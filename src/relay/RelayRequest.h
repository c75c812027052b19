#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpHeaders.h"

#include <QList>

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
    /// Ids of the parts of the prompt, in order, without the last one, which no other request
    /// shares. Empty if the caller names none.
    QList<QByteArray> promptParts;
    Tokens maxOutput;
    /// Estimate of the caller: accurate at the median, but often far off.
    std::optional<Tokens> expectedOutput;
};

} // namespace cranberry
