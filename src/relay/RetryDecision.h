#pragma once

#include "relay/RetryAllowance.h"

#include <optional>

namespace cranberry {

/// Whether a retry may be sent, and the figures that decided.
struct RetryDecision {
    /// Unset if the budget is used up.
    std::optional<RetryUnit> unit;
    /// Units that were there before, by their sources.
    int earned = 0;
    int borrowed = 0;
    int unusedShare = 0;
    /// The share of this daemon, and the number of daemons that have one.
    int share = 0;
    int daemons = 1;
    /// The time until this daemon may use its share.
    Milliseconds untilShare{0};
};

} // namespace cranberry
