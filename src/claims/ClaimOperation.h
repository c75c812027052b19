#pragma once

#include "claims/Claim.h"

namespace cranberry {

/// One change of a shard.
struct ClaimOperation {
    enum class Kind {
        Claim,
        /// Removes the claim of this attempt if it is in the open segment.
        Release,
        /// Like Release, but always writes the head. A write of the claim that is still in flight
        /// then expects an old revision and can no longer take effect.
        Void,
    };

    Kind kind = Kind::Claim;
    Claim claim;
};

/// The result of a ClaimOperation.
struct ClaimOutcome {
    enum class Kind {
        /// The claim is stored, or the release is complete.
        Done,
        /// Another attempt holds the key.
        Held,
        /// The store did not accept the operation, or its outcome could not be determined.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    /// If Held: the stored claim.
    Claim holder;
    /// If Unavailable: a write of the claim was not answered, so the claim may be stored now or
    /// later.
    bool mayBeStored = false;
};

} // namespace cranberry
