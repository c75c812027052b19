// Defines PeerTraffic, the counted bytes of the links between daemons.
#pragma once

#include <QtGlobal>

namespace cranberry {

/// Bytes as written to and read from sockets, so with HTTP and websocket headers and without
/// those of TCP and IP; chunks are writes and reads of a socket, about one TCP segment each.
struct PeerTraffic {
    qint64 bytesOut = 0;
    qint64 bytesIn = 0;
    qint64 chunksOut = 0;
    qint64 chunksIn = 0;
};

} // namespace cranberry
