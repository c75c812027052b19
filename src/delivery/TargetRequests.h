#pragma once

#include "base/Ids.h"

namespace cranberry {

struct GenerationRequest;
struct HttpRequest;

/// The HTTP request that sends @p request to a target as @p attempt. Thread-safe.
HttpRequest attemptRequest(const GenerationRequest &request, const AttemptId &attempt);

/// The HTTP request that resumes @p attempt at its target from event index @p from on.
/// Thread-safe.
HttpRequest resumeRequest(const AttemptId &attempt, qint64 from);

} // namespace cranberry
