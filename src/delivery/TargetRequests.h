// Defines the HTTP requests by which a generation is sent to a target and resumed there.
#pragma once

#include "base/Ids.h"

namespace cranberry {

struct GenerationRequest;
struct HttpRequest;

/// The first send of @p attempt. Thread-safe.
HttpRequest attemptRequest(const GenerationRequest &request, const AttemptId &attempt);

/// Asks for the events of @p attempt from number @p from on. Thread-safe.
HttpRequest resumeRequest(const AttemptId &attempt, qint64 from);

} // namespace cranberry
