// Defines how old an idempotency key says it is.
#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>

namespace cranberry {

/// The time in a UUIDv7, in milliseconds since 1970; empty for any other text. Thread-safe.
std::optional<qint64> timeOfUuidV7(const QByteArray &idempotencyKey);

/// True if the claim of a request with this key may have been forgotten, so that sending it
/// could be a repeat: the request has to be refused. Other keys than UUIDv7 tell no time and
/// are never refused here. Thread-safe.
bool isBeyondRetention(const QByteArray &idempotencyKey, qint64 nowMs,
                       std::chrono::hours retention);

} // namespace cranberry
