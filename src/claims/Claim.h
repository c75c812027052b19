// Defines Claim, the record that a request which must run at most once was taken on.
#pragma once

#include "base/Ids.h"

#include <QByteArray>

namespace cranberry {

struct Claim {
    /// SHA-256 of workspace and idempotency key.
    QByteArray key;
    /// Tells a repeat of the request from another one under the same key.
    QByteArray fingerprint;
    /// The one send that the claim allows.
    AttemptId attempt;
    /// The entry VM that may send it.
    VmId vm;
    /// Wall-clock time of the claim in milliseconds since 1970; only for people.
    qint64 timeMs = 0;

    friend bool operator==(const Claim &a, const Claim &b)
    {
        return a.key == b.key && a.fingerprint == b.fingerprint && a.attempt == b.attempt
            && a.vm == b.vm && a.timeMs == b.timeMs;
    }
};

} // namespace cranberry
