#include "base/ErrorKind.h"

#include <array>

namespace cranberry {

namespace {

constexpr std::array<ErrorAnswer, ErrorKindCount> ErrorAnswers{{
    {ErrorKind::BadRequest, "bad_request", 400, "The request is not valid", {}},
    {ErrorKind::BadHeader, "bad_header", 400, "A header is not valid", {}},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, "The body is too large", {}},
    {ErrorKind::HeadersTooLarge, "headers_too_large", 431, "The headers are too large", {}},
    {ErrorKind::Unauthorized, "unauthorized", 401, "No valid key was given", {}},
    {ErrorKind::Forbidden, "forbidden", 403, "The workspace may not use this", {}},
    {ErrorKind::UnknownModel, "unknown_model", 404, "The model is not known", {}},
    {ErrorKind::UnknownService, "unknown_service", 404, "The service is not known", {}},
    {ErrorKind::UnknownPath, "unknown_path", 404, "Nothing is served at this path", {}},
    {ErrorKind::IdempotencyKeyRequired,
     "idempotency_key_required",
     400,
     "A request that must run at most once needs an Idempotency-Key",
     {}},
    {ErrorKind::IdempotencyKeyReused,
     "idempotency_key_reused",
     422,
     "The Idempotency-Key was used with another request",
     {}},
    {ErrorKind::OutcomeUnknown,
     "outcome_unknown",
     409,
     "An earlier request with this key may have run",
     {}},
    {ErrorKind::VersionConflict,
     "version_conflict",
     412,
     "The configuration has changed meanwhile",
     {}},
    {ErrorKind::InvalidConfiguration,
     "invalid_configuration",
     422,
     "The configuration is not valid",
     {}},
    {ErrorKind::OverLimit, "over_limit", 429, "The workspace is over its limit", 1},
    {ErrorKind::QueueFull, "queue_full", 503, "The queue is full", 1},
    {ErrorKind::DeadlineTooShort, "deadline_too_short", 503,
     "The expected wait passes the deadline", 2},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, "The deadline has passed", {}},
    {ErrorKind::Quarantined, "quarantined", 503,
     "This request has crashed targets and is held back", 60},
    {ErrorKind::NoTarget, "no_target", 503, "No target can take the request now", 1},
    {ErrorKind::TargetRefused, "target_refused", 502, "The target refused the request", {}},
    {ErrorKind::TargetFailed, "target_failed", 502, "The target failed", {}},
    {ErrorKind::GenerationLost,
     "generation_lost",
     502,
     "The generation was lost partway through the answer",
     {}},
    {ErrorKind::ReaderTooSlow, "reader_too_slow", 408, "The caller reads too slowly", {}},
    {ErrorKind::RequestTooSlow, "request_too_slow", 408, "The request did not arrive in time", {}},
    {ErrorKind::PlatformUnavailable, "platform_unavailable", 503,
     "The platform's service does not answer", 5},
    {ErrorKind::NotReady, "not_ready", 503, "The daemon has no configuration yet", 1},
    {ErrorKind::Draining, "draining", 503, "The daemon is shutting down", 1},
    {ErrorKind::Internal, "internal", 500, "An internal error occurred", {}},
}};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return ErrorAnswers[static_cast<size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(const QByteArray &name)
{
    for (const ErrorAnswer &answer : ErrorAnswers) {
        if (name == answer.name)
            return answer.kind;
    }
    return std::nullopt;
}

const char *ranName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Maybe:
        break;
    }
    return "maybe";
}

} // namespace cranberry
