#pragma once

#include <QString>

namespace cranberry {

/// How an exchange of the client ended; determines what is known about whether the request ran.
enum class HttpExchangeEnd {
    /// The complete response was received.
    Complete,
    /// No connection was established: no byte of the request was sent.
    NotConnected,
    /// The connection ended after it was established and before the response was complete; bytes of
    /// the request may have been sent.
    Broken,
    /// The received data is not a valid HTTP response.
    Malformed,
    /// A time limit passed after the connection was established.
    TimedOut,
};

} // namespace cranberry
