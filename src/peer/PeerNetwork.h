// Defines PeerNetwork, the interface by which aggregates talk to other daemons.
#pragma once

#include "base/Ids.h"
#include "peer/PeerMessageKind.h"

#include <QCborMap>

#include <functional>

namespace cranberry {

/// Best-effort messages between daemons: a message may be lost, or come late or twice, and
/// nothing that must hold may rest on one.
/// Thread safety: only from its own thread; handlers run in it.
class PeerNetwork
{
public:
    using Handler = std::function<void(const VmId &from, const QCborMap &body)>;

    virtual ~PeerNetwork() = default;

    /// Sends to @p vm, connecting if need be. Returns false if @p vm is not known or its queue
    /// is full; true promises nothing.
    virtual bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) = 0;

    /// Hands each message of @p kind to @p handler. Precondition: one handler a kind.
    virtual void subscribe(PeerMessageKind kind, Handler handler) = 0;
};

} // namespace cranberry
