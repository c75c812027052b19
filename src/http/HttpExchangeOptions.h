#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

class CallerMemory;

/// Options of one exchange of the client.
struct HttpExchangeOptions {
    /// Maximum time from the established connection to the complete response; zero means no limit.
    Milliseconds timeout{0};
    /// Maximum time without received data once connected; zero means no limit.
    Milliseconds stallTimeout{0};
    /// Maximum time to establish the connection.
    Milliseconds connectTimeout{2000};
    /// Maximum size of the response's body; a larger one ends the exchange as malformed. No limit
    /// if unset.
    std::optional<Bytes> maxBody;
    /// The owner keeps the whole body until the end of the exchange.
    bool collectsBody = false;
    /// The account of what responses in progress hold; none if null. Outlives the exchange.
    CallerMemory *memory = nullptr;
    /// What the response may hold while the account is full; one that holds more ends the exchange
    /// as malformed.
    Bytes maxWithoutRoom{16 * 1024};
    /// Use an idle connection if there is one, and return the connection to the pool when done. A
    /// reused connection may prove to be closed after bytes were written. Not for requests for
    /// which the caller must know that they did not run.
    bool reuseConnection = false;
    /// Return the connection to the pool when done, whether or not it was a reused one.
    bool keepConnection = false;
    /// A connection that has been idle for longer is not reused; no limit if unset.
    std::optional<Milliseconds> maxIdleTime;
    /// Do not reuse a connection on which a response did not name its request: it may come again,
    /// and nothing would tell it from a response to this request.
    bool requireNamed = false;
    /// After a body that ends with the connection, check that the peer still accepts connections. A
    /// process that crashes closes its connections in order too; the exchange then ends as broken.
    bool confirmClose = false;
    /// Name of a header in which a target names the request that it answers. A response that names
    /// another request is skipped; see matchResponse(). Not checked if empty.
    QByteArray echoHeader;
    /// The name of the request; empty if it has none.
    QByteArray echoValue;
};

} // namespace cranberry
