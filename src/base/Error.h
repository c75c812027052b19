#pragma once

#include "base/ErrorKind.h"

#include <QString>

namespace cranberry {

/// The failure of a request or operation, with the information that its receiver needs to act on
/// it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    Ran ran = Ran::No;
    /// One sentence for a human reader: what is wrong and what to change.
    QString detail;
    /// The invalid header or JSON path; empty if there is none.
    QString field;
    /// Overrides the default of the error kind.
    std::optional<int> retryAfterSeconds;
};

/// The body of an application/problem+json response for @p error. Thread-safe.
QByteArray problemJson(const Error &error);

/// The value of the Retry-After header in seconds; nullopt if the response has none. Thread-safe.
std::optional<int> retryAfter(const Error &error);

} // namespace cranberry
