// Defines ClaimSettings, the sizes and times of the claims.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct ClaimSettings {
    /// Claims that the open segment of a shard holds before it is sealed. Each write carries
    /// the whole segment, so a larger one costs bytes a write, a smaller one more seals.
    int fullSegment = 256;
    /// Claims older than this may be forgotten.
    std::chrono::hours retention{24};
    /// Time after which a claim whose outcome cannot be settled is refused.
    Milliseconds settleLimit{3000};
    /// Pause before the service is asked again after an answer was lost.
    Milliseconds settlePause{20};
    /// Pause before a release that the service did not take is tried again, and how often.
    Milliseconds releasePause{5000};
    int releaseTries = 60;
    /// Time that the daemon which gathers a shard's claims has to answer.
    Milliseconds gathererTimeout{200};
    /// Longest time for which claims are gathered for one write.
    Milliseconds longestWindow{250};
};

} // namespace cranberry
