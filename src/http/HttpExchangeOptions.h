// Defines the options of an HTTP exchange of the client.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct HttpExchangeOptions {
    /// Time for the whole exchange; zero is without limit.
    Milliseconds timeout{0};
    /// Time in which the connection must come about.
    Milliseconds connectTimeout{2000};
    /// Take an idle connection if there is one, and leave it for the next when done. A reused
    /// connection may turn out closed after bytes were written, so not for requests whose
    /// "did not run" matters.
    bool reuseConnection = false;
};

} // namespace cranberry
