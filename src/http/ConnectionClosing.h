#pragma once

#include "base/Units.h"
#include "http/ConnectionState.h"

namespace cranberry {

struct CallerLimits;
struct ListenerLimits;

/// What a listener does with connections that have no request.
enum class ListenerStage {
    Serving,
    /// Idle connections are closed, new ones are accepted.
    Closing,
    /// No connections are accepted, and a request of which only a part has arrived is rejected.
    Ending,
};

/// What is known of an accepted connection.
struct ConnectionStatus {
    ConnectionState state = ConnectionState::AwaitingFirst;
    /// Time since the connection was accepted, a part of a request arrived or a response was
    /// complete.
    Milliseconds idle{0};
    /// The headers of a request have arrived in part.
    bool areHeadersPending = false;
    /// Bytes of a response were not passed to the system.
    bool hasUnsentBytes = false;
    /// Time since the first byte of the request that is being received.
    Milliseconds receiving{0};
    /// Time for which bytes of complete responses have been unsent.
    Milliseconds sending{0};
};

enum class ConnectionAction {
    Keep,
    /// Close the connection without reading from it again, unless bytes have arrived. A request
    /// that is on its way is then not read, so that its caller may send it again.
    CloseUnread,
    /// Reject the request of which a part has arrived; it was too slow.
    RejectSlow,
    /// As above; the process ends.
    RejectEnding,
    /// Close a connection whose last response is written, or is not read in time.
    Close,
};

/// What to do with a connection now. Thread-safe.
ConnectionAction connectionAction(const ConnectionStatus &status, ListenerStage stage,
                                  const CallerLimits &limits, const ListenerLimits &listenerLimits);

/// Whether the process must not end before the connection does or its state changes.
/// Precondition: connectionAction() was applied in @p stage. Thread-safe.
bool isConnectionBusy(const ConnectionStatus &status, ListenerStage stage);

} // namespace cranberry
