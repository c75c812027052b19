// Defines PeerLinkLimits, the bounds on what other daemons can make a daemon hold.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct PeerLinkLimits {
    /// Largest frame of a peer that has proved knowledge of the fleet secret.
    Bytes frame{1024 * 1024};
    /// Largest frame before the proof.
    Bytes frameBeforeProof{1024};
    /// All bytes before the proof, the HTTP upgrade included.
    Bytes bytesBeforeProof{8 * 1024};
    /// Bytes that wait to be sent to one peer.
    Bytes sendQueue{2 * 1024 * 1024};
    /// From the start of a connection to the proof.
    Milliseconds handshake{5000};
    /// An outgoing link without a send for so long is closed.
    Milliseconds idle{60'000};
    /// Sent bytes that are not acknowledged for so long break the link.
    Milliseconds stall{10'000};
    Milliseconds backoffFirst{100};
    Milliseconds backoffLast{5000};
    /// Incoming links that have not proved anything; one more drops the oldest.
    int unprovenLinks = 64;
};

} // namespace cranberry
