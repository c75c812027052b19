// Defines Error, what a failed request or operation reports.
#pragma once

#include "base/ErrorKind.h"

#include <QString>

namespace cranberry {

/// A failure with what its receiver needs to act on it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    Ran ran = Ran::No;
    /// One sentence for a person: what is wrong and what to change.
    QString detail;
    /// The header or JSON path at fault, empty if none is.
    QString field;
    /// Overrides the default of the kind.
    std::optional<int> retryAfterSeconds;
};

/// The body of an application/problem+json answer for @p error. Thread-safe.
QByteArray problemJson(const Error &error);

/// The value of the Retry-After header, if one belongs on the answer. Thread-safe.
std::optional<int> retryAfter(const Error &error);

} // namespace cranberry
