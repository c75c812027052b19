#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <functional>

namespace cranberry {

/// The result of claiming a key.
struct ClaimDecision {
    enum class Kind {
        /// The claim is granted to this attempt, which may be sent.
        Won,
        /// An earlier request holds the key.
        Held,
    };

    Kind kind = Kind::Won;
    /// If Held: the VM that holds the key, and the attempt and request it is held for.
    VmId holder;
    AttemptId holderAttempt;
    QByteArray holderFingerprint;
};

/// Decides whether an at-most-once request may be sent: only one request at a time can hold a
/// claim key. Implementations ensure that by a compare-and-swap in the store.
/// Thread safety: only from the event loop thread.
class ClaimService
{
public:
    using Callback = std::function<void(Result<ClaimDecision>)>;

    ClaimService() = default;
    virtual ~ClaimService() = default;
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Claims @p claimKey for @p attempt and calls back once. After an error the request must
    /// never be sent under this attempt id.
    virtual void claim(const QByteArray &claimKey, const QByteArray &fingerprint,
                       const AttemptId &attempt, Callback callback) = 0;

    /// Releases the claim. Precondition: no send under it ran, either because the target said so
    /// or because no byte of a request was sent.
    virtual void release(const QByteArray &claimKey, const AttemptId &attempt) = 0;
};

} // namespace cranberry
