#pragma once

#include "base/Ids.h"
#include "peer/PeerMessageKind.h"

#include <QCborMap>
#include <QCborValue>

#include <optional>

namespace cranberry {

/// A message of another component to all daemons, carried by heartbeats.
struct Broadcast {
    PeerMessageKind kind = PeerMessageKind::Quarantine;
    VmId origin;
    /// Random and never 0; a daemon delivers each number once.
    qint64 number = 0;
    QCborMap body;
};

/// Thread-safe.
QCborValue broadcastToCbor(const Broadcast &item);

/// Empty if @p value is not a well-formed broadcast. Thread-safe.
std::optional<Broadcast> broadcastFromCbor(const QCborValue &value);

} // namespace cranberry
