#pragma once

#include "http/HttpResponse.h"

namespace cranberry {

struct Error;

/// The application/problem+json response for @p error, with the headers Cranberry-Ran and, if the
/// error has a retry delay, Retry-After.
/// Thread-safe.
HttpResponse problemResponse(const Error &error);

} // namespace cranberry
