#pragma once

#include "base/Ids.h"
#include "http/HttpEndpoint.h"

#include <cstddef>

namespace cranberry {

/// What this daemon sends something to a target for.
enum class CallPurpose {
    /// A request that starts at the target.
    Request,
    /// A generation that continues at the target from a copy of its memory.
    Continuation,
    Reservation,
    /// Frees a reservation or a copy, which expires by itself otherwise.
    Release,
    /// Moves a generation away from the target.
    Move,
    Report,
    /// Finds out whether the target is reachable.
    ReachProbe,
    /// Finds out whether an attempt crashed the target.
    CrashProbe,
};
constexpr std::size_t CallPurposeCount = 8;

/// The name used in log lines and metrics. Thread-safe.
const char *callPurposeName(CallPurpose purpose);

struct TargetCall {
    TargetId target;
    HttpEndpoint endpoint;
    CallPurpose purpose = CallPurpose::Request;
};

} // namespace cranberry
