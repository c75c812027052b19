// Defines the closed list of error kinds and the table from kind to answer.
#pragma once

#include <QByteArray>

#include <cstddef>
#include <optional>

namespace cranberry {

/// Every way in which a request can fail. The order is that of the table below.
enum class ErrorKind {
    BadRequest,
    BadHeader,
    BodyTooLarge,
    HeadersTooLarge,
    Unauthorized,
    Forbidden,
    UnknownModel,
    UnknownService,
    UnknownPath,
    IdempotencyKeyRequired,
    IdempotencyKeyReused,
    OutcomeUnknown,
    VersionConflict,
    InvalidConfiguration,
    OverLimit,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    Quarantined,
    NoTarget,
    TargetRefused,
    TargetFailed,
    GenerationLost,
    ReaderTooSlow,
    RequestTooSlow,
    PlatformUnavailable,
    NotReady,
    Draining,
    Internal,
};

constexpr std::size_t ErrorKindCount = std::size_t(ErrorKind::Internal) + 1;

/// What is known about whether a target executed the request.
enum class Ran {
    No,
    Maybe,
    Yes,
};

/// One row of the table from kind to answer.
struct ErrorAnswer {
    ErrorKind kind;
    const char *name;
    int httpStatus;
    const char *title;
    /// Default for the Retry-After header; absent where sending again cannot help.
    std::optional<int> retryAfterSeconds;
};

/// The row for @p kind. Precondition: @p kind is an enumerator. Thread-safe.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// The kind whose row is named @p name, if there is one. Thread-safe.
std::optional<ErrorKind> errorKindFromName(const QByteArray &name);

/// "no", "maybe" or "yes". Thread-safe.
const char *ranName(Ran ran);

} // namespace cranberry
