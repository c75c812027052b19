// Defines QuietPeers, a network on which no other daemon is reached.
#pragma once

#include "peer/PeerNetwork.h"

namespace cranberry::test {

/// Thread safety: thread-safe.
class QuietPeers final : public PeerNetwork
{
public:
    bool send(const VmId &, PeerMessageKind, const QCborMap &) override { return false; }
    void subscribe(PeerMessageKind, Handler) override { }
};

} // namespace cranberry::test
