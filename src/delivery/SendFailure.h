#pragma once

#include "base/ErrorKind.h"
#include "delivery/TargetSource.h"
#include "http/HttpExchangeEnd.h"

namespace cranberry {

/// How a send to a target failed. ranAfter() tells whether the request may have run.
enum class SendFailure {
    /// No connection was established; no byte of the request was sent.
    NotConnected,
    /// The target answered 429 or 503 and reported that it had not started the request.
    RefusedBeforeStart,
    /// As RefusedBeforeStart, and the target reported that it is draining.
    RefusedAsLeaving,
    /// The target answered a cancel: the request had not started and never will.
    CancelledBeforeStart,
    /// The target answered a cancel: the request had started.
    CancelledAfterStart,
    /// The target answered with an error without reporting whether the request had started.
    ErrorAnswer,
    /// The connection broke or timed out after bytes were sent and before an answer began.
    BrokenBeforeAnswer,
    /// The answer violates the protocol.
    MalformedAnswer,
    /// The answer began, so the request had started, and then broke off.
    BrokenAfterStart,
};

/// Whether a request whose only send failed with @p failure may have run. Ran::No is returned
/// only if no byte was sent or the target itself reported that it did not start. Thread-safe.
Ran ranAfter(SendFailure failure);

/// What @p failure says about the state of the target. Thread-safe.
AttemptOutcome outcomeAfter(SendFailure failure);

/// The name of @p failure in log lines and error messages. Thread-safe.
const char *sendFailureName(SendFailure failure);

/// The failure of a send whose HTTP exchange ended with @p end. @p answerBegan tells whether a
/// success status had arrived. Precondition: @p end is not Complete. Thread-safe.
SendFailure failureOfExchange(HttpExchangeEnd end, bool answerBegan);

/// The failure of a send that was answered with error @p status and @p body. Thread-safe.
SendFailure failureOfAnswer(int status, const QByteArray &body);

} // namespace cranberry
