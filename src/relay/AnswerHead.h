// Defines AnswerHead, what the head of a target's answer says.
#pragma once

#include "http/HttpHeaders.h"

namespace cranberry {

struct AnswerHead {
    int status = 0;
    /// Headers that go back to the caller.
    HttpHeaders headers;
    /// It bears the target's seal: it is a target's answer to a request that ran.
    bool isSealed = false;
    /// The target says that it did not run the request and never will.
    bool isNotExecuted = false;
    /// Another target has the address.
    bool isMisdirected = false;
    /// It cannot be passed on: it answers another request or is encoded.
    bool isOdd = false;
};

} // namespace cranberry
