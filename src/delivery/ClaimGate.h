// Defines ClaimService, where delivery asks whether an at-most-once request may be sent.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <functional>

namespace cranberry {

/// What became of a claim.
struct ClaimDecision {
    enum class Kind {
        /// The claim stands for this attempt: it may be sent.
        Won,
        /// An earlier request holds the key.
        Held,
    };

    Kind kind = Kind::Won;
    /// If Held: who holds it and for which request.
    VmId holder;
    AttemptId holderAttempt;
    QByteArray holderFingerprint;
};

/// Claims as delivery sees them. Safety rests on the compare-and-swap behind it.
/// Thread safety: only from the thread of the event loop.
class ClaimService
{
public:
    using Callback = std::function<void(Result<ClaimDecision>)>;

    ClaimService() = default;
    virtual ~ClaimService() = default;
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Claims @p claimKey for @p attempt. Calls back once. After an error the request must
    /// not be sent under this attempt id, ever.
    virtual void claim(const QByteArray &claimKey, const QByteArray &fingerprint,
                       const AttemptId &attempt, Callback callback) = 0;

    /// Gives the claim back. Precondition: no send under it ran, by the target's own answer
    /// or because no byte left.
    virtual void release(const QByteArray &claimKey, const AttemptId &attempt) = 0;
};

} // namespace cranberry
