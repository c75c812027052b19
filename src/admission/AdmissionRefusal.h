// Defines what an admission queue says and logs when it refuses a request.
#pragma once

#include "base/Error.h"
#include "base/Units.h"

#include <QString>

namespace cranberry {

struct PlacementRequest;

/// A refusal of @p kind; @p detail is a sentence for the caller. Thread-safe.
Error admissionError(ErrorKind kind, const QString &detail);

/// Whole seconds after which a caller that would have to wait for @p wait should come back, from 1
/// to
/// 60. Thread-safe.
int retryAfterSeconds(Milliseconds wait);

/// Writes the log line of a refusal. Thread-safe.
void logRefusal(const PlacementRequest &request, const Error &error);

} // namespace cranberry
