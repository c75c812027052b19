// Defines RequestKind, what a route's requests allow to be repeated.
#pragma once

namespace cranberry {

enum class RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most; the answer is short.
    AtMostOnce,
    /// As AtMostOnce; the answer is a stream of events that are passed on as they come.
    Stream,
};

} // namespace cranberry
