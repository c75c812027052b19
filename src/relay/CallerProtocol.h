// Defines CallerProtocol, how callers' requests are read and failures written for them.
#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "relay/RelayRequest.h"

#include <functional>
#include <optional>

namespace cranberry {

/// Pure translation: no function keeps state or chooses. Every member is set.
/// Thread safety: as its functions; those of the adapters are thread-safe.
struct CallerProtocol {
    std::function<Result<RelayRequest>(const HttpRequest &)> readRequest;
    /// Empty if the caller sent none.
    std::function<RequestId(const HttpRequest &)> requestId;
    /// A failure of the system's own. @p comeBack is said with failures that promise that the
    /// request has not run.
    std::function<HttpResponse(const Error &, std::optional<Milliseconds> comeBack)> failure;
};

} // namespace cranberry
