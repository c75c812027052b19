// Defines NoClaims, the gate of a daemon that cannot claim: nothing at-most-once is sent.
#pragma once

#include "delivery/ClaimGate.h"

namespace cranberry {

/// Thread safety: thread-safe.
class NoClaims final : public ClaimGate
{
public:
    void claim(const QByteArray &, const QByteArray &, const AttemptId &,
               Callback callback) override
    {
        callback(Error{ErrorKind::PlatformUnavailable,
                       Ran::No,
                       QStringLiteral("claims are not available"),
                       {},
                       {}});
    }
    void release(const QByteArray &, const AttemptId &) override { }
};

} // namespace cranberry
