#pragma once

#include "base/Units.h"

namespace cranberry {

/// What decides when a waiting request is tried, as of one reading of the clock.
struct WaitingRank {
    /// It can no longer be answered within its objective.
    bool isOverdue = false;
    int priority = 0;
    /// Forecast output length; see OutputForecast.
    Tokens expectedOutput;
    MonotonicTime arrived;
};

/// Strict weak ordering of waiting requests: first those that can still be answered on time, by
/// priority and then by shortest expected output, since the same memory serves more short answers;
/// then the others in order of arrival.
/// Thread safety: reentrant.
bool isServedBefore(const WaitingRank &a, const WaitingRank &b);

} // namespace cranberry
