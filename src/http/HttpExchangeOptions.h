// Defines the options of an HTTP exchange of the client.
#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

struct HttpExchangeOptions {
    /// Time for the whole exchange; zero is without limit.
    Milliseconds timeout{0};
    /// Longest time without receiving data once connected; zero is without limit.
    Milliseconds stallTimeout{0};
    /// Time in which the connection must come about.
    Milliseconds connectTimeout{2000};
    /// Take an idle connection if there is one, and leave it for the next when done. A reused
    /// connection may turn out closed after bytes were written, so not for requests whose
    /// "did not run" matters.
    bool reuseConnection = false;
    /// Leave the connection for another exchange when done, whether or not it was a reused one.
    bool keepConnection = false;
    /// A connection that has been idle for longer is not reused; unset: any may be.
    std::optional<Milliseconds> mostIdle;
    /// A target repeats this header's value in its answer. An answer with another value belongs
    /// to an earlier request of the connection and is skipped. Empty: not checked.
    QByteArray echoHeader;
    QByteArray echoValue;
};

} // namespace cranberry
