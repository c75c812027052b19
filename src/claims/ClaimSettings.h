#pragma once

#include "base/Units.h"

namespace cranberry {

/// Limits and timeouts of claims.
struct ClaimSettings {
    /// Claims in the open segment of a shard before it is sealed. Each write carries the whole
    /// segment: a larger one costs more bytes per write, a smaller one more seals.
    int maxSegmentClaims = 256;
    /// Claims older than this may be removed.
    std::chrono::hours retention{24};
    /// Time after which a claim whose outcome cannot be determined is refused.
    Milliseconds settleTimeout{3000};
    /// Delay before the store is read again after the answer to a write was lost.
    Milliseconds settleRetryInterval{20};
    /// Initial delay before a failed release is retried; doubles with each attempt up to a limit.
    Milliseconds releaseRetryBackoff{5000};
    int maxReleaseAttempts = 60;
    /// Time that the coordinator of a shard has to answer, in addition to its batch window.
    Milliseconds coordinatorTimeout{200};
    /// Maximum time for which claims are collected for one write.
    Milliseconds maxBatchWindow{250};
};

} // namespace cranberry
