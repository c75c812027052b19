#pragma once

#include "base/Ids.h"
#include "peer/PeerMessageKind.h"

#include <QCborMap>

#include <functional>

namespace cranberry {

/// The interface for messages to and from other daemons.
/// Best-effort messages between daemons: a message may be lost, delayed or delivered twice, so
/// correctness must not depend on its delivery.
/// Thread safety: only from its own thread; handlers run in it.
class PeerNetwork
{
public:
    using Handler = std::function<void(const VmId &from, const QCborMap &body)>;

    virtual ~PeerNetwork() = default;

    /// Sends to @p vm and connects first if necessary. Returns false if @p vm is unknown or its
    /// queue is full. True does not guarantee delivery.
    virtual bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) = 0;

    /// Passes each message of @p kind to @p handler. Precondition: one handler per kind.
    virtual void subscribe(PeerMessageKind kind, Handler handler) = 0;
};

} // namespace cranberry
