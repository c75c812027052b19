// Defines RelayRequest, one request that is passed on unread.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpHeaders.h"

#include <optional>

namespace cranberry {

struct RelayRequest {
    RequestId id;
    QByteArray method;
    /// Path and query as they were sent.
    QByteArray target;
    QByteArray host;
    /// What is passed on beside what the system sets itself.
    HttpHeaders headers;
    QByteArray body;
    /// The caller's key; empty if it gave none.
    QByteArray key;
    /// How long the caller waits, from the arrival of the request.
    std::optional<Milliseconds> patience;
    Tokens promptTokens;
    Tokens mostOutput;
    /// The caller's estimate: right at the median, often far off.
    std::optional<Tokens> expectedOutput;
};

} // namespace cranberry
