#pragma once

#include "http/ConnectionUse.h"

#include <memory>

namespace cranberry {

class TcpStream;

/// A connection of a client and what was on it.
struct ClientConnection {
    /// Null if there is no connection.
    std::unique_ptr<TcpStream> stream;
    ConnectionUse use;
};

} // namespace cranberry
