// Defines SendFailure, where a send to a target failed, and what that says about whether it ran.
#pragma once

#include "base/ErrorKind.h"
#include "delivery/TargetSource.h"
#include "http/HttpExchangeEnd.h"

namespace cranberry {

/// Where one send failed.
enum class SendFailure {
    /// No connection came about; no byte of the request left.
    NotConnected,
    /// The target answered 429 or 503 and said that it had not started.
    RefusedBeforeStart,
    /// As RefusedBeforeStart, and the target said that it leaves.
    RefusedAsLeaving,
    /// The target answered a cancel and said that it had not started and never will.
    CancelledBeforeStart,
    /// The target answered a cancel and said that it had started.
    CancelledAfterStart,
    /// The target answered with an error and did not say whether it had started.
    ErrorAnswer,
    /// The connection broke or timed out after bytes had left and before an answer began.
    BrokenBeforeAnswer,
    /// What came back was not of the protocol.
    MalformedAnswer,
    /// The answer began, so the target had started, and then broke off.
    BrokenAfterStart,
};

/// What may be said of a request whose only send failed this way. "No" is said only if no
/// byte left or the target itself said that it did not start. Thread-safe.
Ran ranAfter(SendFailure failure);

/// What @p failure says of the target. Thread-safe.
AttemptOutcome outcomeAfter(SendFailure failure);

/// The name of @p failure in log lines. Thread-safe.
const char *sendFailureName(SendFailure failure);

/// How a send failed whose exchange ended as @p end. Precondition: @p end is not Complete.
/// @p answerBegan: a success status had arrived. Thread-safe.
SendFailure failureOfExchange(HttpExchangeEnd end, bool answerBegan);

/// How a send failed that was answered with an error @p status and @p body. Thread-safe.
SendFailure failureOfAnswer(int status, const QByteArray &body);

} // namespace cranberry
