#pragma once

#include "peer/PeerMessageKind.h"

#include <QByteArray>
#include <QCborMap>

#include <optional>

namespace cranberry {

/// One message between daemons.
struct PeerFrame {
    PeerMessageKind kind = PeerMessageKind::Heartbeat;
    QCborMap body;
};

/// The CBOR array [kind, body]. Thread-safe.
QByteArray encodePeerFrame(const PeerFrame &frame);

/// Empty if @p bytes are not exactly one well-formed frame of a known kind. Thread-safe.
std::optional<PeerFrame> decodePeerFrame(const QByteArray &bytes);

} // namespace cranberry
