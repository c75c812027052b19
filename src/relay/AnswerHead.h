#pragma once

#include "http/HttpHeaders.h"

#include <optional>

namespace cranberry {

/// The head of a target's answer.
struct AnswerHead {
    int status = 0;
    /// Headers to return to the caller.
    HttpHeaders headers;
    /// It carries the seal of a target: it is the answer of a target to a request that ran.
    bool isSealed = false;
    /// It bears the id of the request.
    bool namesRequest = false;
    /// The target says that it did not run the request and will not run it later; see proofOf().
    bool isNotExecuted = false;
    /// The address belongs to another target.
    bool isMisdirected = false;
    /// It cannot be forwarded: it answers another request or is encoded.
    bool isUnusable = false;
    /// Requests per second that the target takes from all daemons together, if the answer names a
    /// limit; finite and not negative.
    std::optional<double> requestsPerSecond;
    /// Set if the target says that it is brittle: it fails if it rejects more requests than this in
    /// a second; finite and not negative.
    std::optional<double> rejectionsPerSecond;
    /// The limit that the answer names, if it cannot be read.
    QByteArray unreadableLimit;
    /// Names of headers that the protocol does not know.
    QList<QByteArray> unknownHeaders;
};

/// Thread-safe.
inline bool isSuccess(const AnswerHead &head)
{
    constexpr int FirstSuccess = 200;
    constexpr int FirstRedirect = 300;
    return head.status >= FirstSuccess && head.status < FirstRedirect;
}

} // namespace cranberry
