#pragma once

#include "base/Ids.h"

#include <QByteArray>

namespace cranberry {

/// Records that one attempt may run a request which must run at most once.
struct Claim {
    /// SHA-256 of workspace and idempotency key.
    QByteArray key;
    /// Distinguishes a repeated request from a different request with the same key.
    QByteArray fingerprint;
    /// The only attempt that the claim allows to send the request.
    AttemptId attempt;
    /// The entry VM that may send the request.
    VmId vm;
    /// Wall-clock time of the claim in milliseconds since 1970; informational only.
    qint64 timeMs = 0;

    friend bool operator==(const Claim &a, const Claim &b)
    {
        return a.key == b.key && a.fingerprint == b.fingerprint && a.attempt == b.attempt
            && a.vm == b.vm && a.timeMs == b.timeMs;
    }
};

} // namespace cranberry
