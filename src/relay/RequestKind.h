#pragma once

namespace cranberry {

/// Whether the requests of a route may be repeated.
enum class RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once; the answer is short.
    AtMostOnce,
    /// Like AtMostOnce; the answer is a stream of events that are forwarded as they arrive.
    Stream,
};

} // namespace cranberry
