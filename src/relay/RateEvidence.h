#pragma once

#include "base/Units.h"

#include <optional>

namespace cranberry {

/// What an answer of a target shows about the rate limit that the target names in its answers.
struct RateEvidence {
    /// Requests per second that the target takes from all daemons together; unset if it names no
    /// limit.
    std::optional<double> perSecond;
    /// When the request was sent whose answer shows this; not later if it is not known exactly.
    MonotonicTime asked;
    /// When that answer arrived; not earlier if it is not known exactly.
    MonotonicTime answered;
};

/// Returns what is known of a target after @p news. Answers on different connections overtake each
/// other: an answer without a limit ends one only if its request was sent after the last answer
/// arrived that named it. Thread-safe.
RateEvidence mergeEvidence(const RateEvidence &known, const RateEvidence &news);

} // namespace cranberry
