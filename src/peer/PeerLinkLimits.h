#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits on the resources that other daemons can use.
struct PeerLinkLimits {
    /// Maximum size of a frame from an authenticated peer.
    Bytes maxFrameSize{1024 * 1024};
    /// Maximum size of a frame before authentication.
    Bytes maxHandshakeFrameSize{1024};
    /// Maximum total bytes before authentication, the HTTP upgrade included.
    Bytes maxHandshakeBytes{8 * 1024};
    /// Maximum bytes waiting to be sent to one peer.
    Bytes maxSendQueueBytes{2 * 1024 * 1024};
    /// Time from the start of a connection to its authentication.
    Milliseconds handshakeTimeout{5000};
    /// An outgoing link without a send for this long is closed.
    Milliseconds idleTimeout{60'000};
    /// A link is broken when sent bytes are not acknowledged for this long.
    Milliseconds unacknowledgedTimeout{10'000};
    Milliseconds minBackoff{100};
    Milliseconds maxBackoff{5000};
    /// Maximum number of unauthenticated incoming links; a further one drops the oldest.
    int maxUnauthenticatedLinks = 64;
};

} // namespace cranberry
