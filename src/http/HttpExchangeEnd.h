// Defines how an HTTP exchange of the client ended.
#pragma once

#include <QString>

namespace cranberry {

/// How far an exchange came; decides what may be said about whether the request ran.
enum class HttpExchangeEnd {
    /// The whole answer arrived.
    Complete,
    /// No connection came about: no byte of the request left this process.
    NotConnected,
    /// The connection broke after bytes of the request had left and before the answer was whole.
    Broken,
    /// What came back was not HTTP.
    Malformed,
    /// The time limit passed after the connection was made.
    TimedOut,
};

} // namespace cranberry
