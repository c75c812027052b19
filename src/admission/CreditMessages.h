#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Error.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

enum class CreditRequestKind {
    /// Grant capacity immediately or answer Full.
    Try = 1,
    /// Wait in the queue of the home daemon.
    Wait = 2,
    /// The requester no longer waits, or the granted send has ended.
    Done = 3,
};

/// The message with which a daemon requests capacity from a target's home daemon.
struct CreditRequest {
    /// Chosen by the requester; matches an answer to its request.
    quint64 exchangeId = 0;
    CreditRequestKind kind = CreditRequestKind::Try;
    /// The deadline is not sent, because the clocks of two VMs are not comparable.
    AdmissionRequest request;
    /// Time until the deadline at the time of sending.
    Milliseconds timeLeft{0};
};

enum class CreditOutcome {
    Granted = 1,
    /// No capacity now.
    Full = 2,
    /// The request was refused and does not wait.
    Refused = 3,
    /// The home daemon does not have the service or model in its configuration yet.
    NotServed = 4,
    /// No answer arrived; never sent as a message.
    Lost = 5,
};

struct CreditAnswer {
    quint64 exchangeId = 0;
    CreditOutcome outcome = CreditOutcome::Lost;
    /// Set if Granted.
    TargetId target;
    /// Set if Full: the expected wait in the home daemon's queue.
    Milliseconds expectedWait{0};
    /// Set if Refused. Its `ran` is always No, since nothing was sent to a target.
    Error error;
};

/// All functions below are thread-safe.
QCborMap toCbor(const CreditRequest &request);
QCborMap toCbor(const CreditAnswer &answer);

/// Empty if @p body is malformed or a field is out of range.
std::optional<CreditRequest> creditRequestFromCbor(const QCborMap &body);
std::optional<CreditAnswer> creditAnswerFromCbor(const QCborMap &body);

} // namespace cranberry
