// Defines ClaimOperation, one thing to do in a shard, and what becomes of it.
#pragma once

#include "claims/Claim.h"

namespace cranberry {

struct ClaimOperation {
    enum class Kind {
        Claim,
        /// Takes the claim of this attempt back, if it stands in the open segment.
        Release,
        /// As Release, and moves the head on, so that a write of the claim that may still be on
        /// its way expects an old revision and can no longer take effect.
        Void,
    };

    Kind kind = Kind::Claim;
    Claim claim;
};

struct ClaimOutcome {
    enum class Kind {
        /// The claim stands, or the release is done.
        Done,
        /// Another attempt holds the key.
        Held,
        /// The service did not take it, or it could not be settled whether it did.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    /// If Held: the claim that stands.
    Claim holder;
    /// If Unavailable: a write of the claim was not answered, so it may stand or come to.
    bool mayStand = false;
};

} // namespace cranberry
