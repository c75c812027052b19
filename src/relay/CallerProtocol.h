#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "relay/RelayRequest.h"

#include <functional>
#include <optional>

namespace cranberry {

/// Decodes callers' requests and encodes failures for them. Translation only: the functions keep no
/// state and make no decisions. Every member is set.
/// Thread safety: that of its functions; those of the adapters are thread-safe.
struct CallerProtocol {
    std::function<Result<RelayRequest>(const HttpRequest &)> readRequest;
    /// Empty if the caller sent no id.
    std::function<RequestId(const HttpRequest &)> requestId;
    /// A failure answer of this system. @p retryAfter is set if the failure guarantees that the
    /// request has not run.
    std::function<HttpResponse(const Error &, std::optional<Milliseconds> retryAfter)> failure;
};

} // namespace cranberry
