#pragma once

#include "base/Result.h"
#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

struct ArrivalTime;
struct HttpRequest;

/// The headers of a caller that control how its request is run.
struct CallerHeaders {
    /// Empty if the caller sent no key.
    QByteArray idempotencyKey;
    /// Absent if the caller did not specify it; the service's default then applies.
    std::optional<bool> atMostOnce;
    std::optional<Milliseconds> deadline;
    int priority = 0;
};

/// Parses Idempotency-Key, Cranberry-Idempotent, Cranberry-Deadline-Ms and Cranberry-Priority.
/// Error BadHeader states the header, its value and the allowed values. Thread-safe.
Result<CallerHeaders> parseCallerHeaders(const HttpRequest &request);

/// Checks that an at-most-once request may run under @p idempotencyKey. Error
/// IdempotencyKeyRequired: the key is empty. Error BadHeader: the time stated in the key is older
/// than the retention of claims, so that it is unknown whether the request has already run.
/// Thread-safe.
Result<void> checkAtMostOnceKey(const QByteArray &idempotencyKey, const ArrivalTime &arrival);

} // namespace cranberry
