#pragma once

#include "base/Units.h"

#include <QtGlobal>

namespace cranberry {

/// Which connection an exchange uses, and what was on it before.
struct ConnectionUse {
    /// Identifies the connection within its pool.
    quint64 number = 0;
    /// Exchanges that were begun on it before this one.
    int earlierExchanges = 0;
    /// A response on it named its request; only set by exchanges that check names, see
    /// HttpExchangeOptions::echoHeader.
    bool hadNamed = false;
    /// A response on it did not name its request; as above.
    bool hadUnnamed = false;
    MonotonicTime openedAt;
};

/// Time since the connection was opened. Thread-safe.
inline Milliseconds ageOf(const ConnectionUse &use, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - use.openedAt);
}

} // namespace cranberry
