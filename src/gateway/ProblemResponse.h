// Defines how an Error is answered over HTTP.
#pragma once

#include "http/HttpResponse.h"

namespace cranberry {

struct Error;

/// The application/problem+json answer for @p error, with Cranberry-Ran and Retry-After.
/// Thread-safe.
HttpResponse problemResponse(const Error &error);

} // namespace cranberry
