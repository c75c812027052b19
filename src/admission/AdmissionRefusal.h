#pragma once

#include "base/Error.h"
#include "base/Units.h"

#include <QString>

namespace cranberry {

struct PlacementRequest;

/// Returns an error of @p kind; @p detail is a sentence for the caller. Thread-safe.
Error admissionError(ErrorKind kind, const QString &detail);

/// The Retry-After value in seconds, from 1 to 60, for a caller that would have to wait for @p
/// wait. Thread-safe.
int retryAfterSeconds(Milliseconds wait);

/// Logs a refusal. Thread-safe.
void logRefusal(const PlacementRequest &request, const Error &error);

} // namespace cranberry
