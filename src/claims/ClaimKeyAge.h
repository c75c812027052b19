#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>

namespace cranberry {

/// The timestamp of a UUIDv7 in milliseconds since 1970; empty for any other text. Thread-safe.
std::optional<qint64> timeOfUuidV7(const QByteArray &idempotencyKey);

/// True if the claim of a request with this key may have been removed already, so that sending
/// the request could repeat it: the request has to be refused. A key that is not a UUIDv7 has no
/// timestamp, and the result is false. Thread-safe.
bool isBeyondRetention(const QByteArray &idempotencyKey, qint64 nowMs,
                       std::chrono::hours retention);

} // namespace cranberry
