// Defines the messages by which a daemon asks a target's home for room.
#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Error.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

enum class CreditRequestKind {
    /// Room now or not at all.
    Try = 1,
    /// A turn in the home's queue.
    Wait = 2,
    /// The one who asked no longer needs a turn, or what was granted has ended.
    Done = 3,
};

struct CreditRequest {
    /// Chosen by whoever asks; tells answers apart.
    quint64 ask = 0;
    CreditRequestKind kind = CreditRequestKind::Try;
    /// Its deadline is not sent: clocks of two VMs cannot be compared.
    AdmissionRequest request;
    /// Time left until the deadline at the moment of sending.
    Milliseconds timeLeft{0};
};

enum class CreditOutcome {
    Granted = 1,
    /// No room now.
    Full = 2,
    /// It will not get a turn.
    Refused = 3,
    /// The home does not know the service or model yet.
    NotServed = 4,
    /// No answer came; never sent.
    Lost = 5,
};

struct CreditAnswer {
    quint64 ask = 0;
    CreditOutcome outcome = CreditOutcome::Lost;
    /// Set if Granted.
    TargetId target;
    /// Set if Full: how long a turn in the home's queue would take.
    Milliseconds expectedWait{0};
    /// Set if Refused. Its `ran` is always No: nothing was sent to a target.
    Error error;
};

/// Thread-safe, as all of these.
QCborMap toCbor(const CreditRequest &request);
QCborMap toCbor(const CreditAnswer &answer);

/// Absent if @p body is not a well-formed message within bounds.
std::optional<CreditRequest> creditRequestFromCbor(const QCborMap &body);
std::optional<CreditAnswer> creditAnswerFromCbor(const QCborMap &body);

} // namespace cranberry
