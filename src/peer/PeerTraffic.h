#pragma once

#include <QtGlobal>

namespace cranberry {

/// Traffic counters of the links between daemons.
/// Bytes written to and read from sockets: with HTTP and websocket headers, without TCP and IP
/// headers. Chunks are socket writes and reads, about one TCP segment each.
struct PeerTraffic {
    qint64 bytesOut = 0;
    qint64 bytesIn = 0;
    qint64 chunksOut = 0;
    qint64 chunksIn = 0;
};

} // namespace cranberry
