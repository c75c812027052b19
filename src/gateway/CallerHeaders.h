// Defines CallerHeaders, the headers by which callers say how a request is to be run.
#pragma once

#include "base/Result.h"
#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

struct ArrivalTime;
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

/// Whether a request that must run at most once may run under this key. Error
/// IdempotencyKeyRequired: there is none. Error BadHeader: it says that it is older than claims
/// are kept, so that nobody could tell whether the request has run. Thread-safe.
Result<void> checkAtMostOnceKey(const QByteArray &idempotencyKey, const ArrivalTime &arrival);

} // namespace cranberry
