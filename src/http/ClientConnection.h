#pragma once

#include "http/ConnectionUse.h"

#include <memory>
#include <vector>

namespace cranberry {

class TcpStream;

/// A connection of a client and what was on it.
struct ClientConnection {
    /// Null if there is no connection.
    std::unique_ptr<TcpStream> stream;
    ConnectionUse use;
    /// Hashes of the names of the requests that were sent on it.
    std::vector<std::size_t> sentNames;
};

} // namespace cranberry
