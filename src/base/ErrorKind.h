#pragma once

#include <QByteArray>

#include <cstddef>
#include <optional>

namespace cranberry {

/// The closed list of error kinds of requests. Must be in the order of the table in ErrorKind.cpp.
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

/// The response to an error kind: one row of the table in ErrorKind.cpp.
struct ErrorAnswer {
    ErrorKind kind;
    const char *name;
    int httpStatus;
    const char *title;
    /// Default for the Retry-After header; nullopt if a retry cannot succeed.
    std::optional<int> retryAfterSeconds;
};

/// The row for @p kind. Precondition: @p kind is an enumerator. Thread-safe.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// The error kind with the wire name @p name; nullopt if there is none. Thread-safe.
std::optional<ErrorKind> errorKindFromName(const QByteArray &name);

/// The wire name of @p ran: "no", "maybe" or "yes". Thread-safe.
const char *ranName(Ran ran);

} // namespace cranberry
