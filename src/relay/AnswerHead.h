#pragma once

#include "http/HttpHeaders.h"

namespace cranberry {

/// The head of a target's answer.
struct AnswerHead {
    int status = 0;
    /// Headers to return to the caller.
    HttpHeaders headers;
    /// It carries the seal of a target: it is the answer of a target to a request that ran.
    bool isSealed = false;
    /// The target says that it did not run the request and will not run it later.
    bool isNotExecuted = false;
    /// The address belongs to another target.
    bool isMisdirected = false;
    /// It cannot be forwarded: it answers another request or is encoded.
    bool isUnusable = false;
};

} // namespace cranberry
