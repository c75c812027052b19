// Defines CallerHeaders, the headers by which callers say how a request is to be run.
#pragma once

#include "base/Result.h"
#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

struct HttpRequest;

struct CallerHeaders {
    /// Empty if the caller gave none.
    QByteArray idempotencyKey;
    /// Absent if the service's default holds.
    std::optional<bool> atMostOnce;
    std::optional<Milliseconds> deadline;
    int priority = 0;
};

/// Reads Idempotency-Key, Cranberry-Idempotent, Cranberry-Deadline-Ms and Cranberry-Priority.
/// Error BadHeader names the header, what it holds and what is allowed. Thread-safe.
Result<CallerHeaders> parseCallerHeaders(const HttpRequest &request);

/// The refusal of a request that must run at most once and has no key. Thread-safe.
Error keyRequired();

} // namespace cranberry
