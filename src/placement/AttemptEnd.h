#pragma once

namespace cranberry {

/// The outcome of an attempt for the length statistics.
enum class AttemptEnd {
    /// The target reported the answer as complete; its length is a sample.
    Finished,
    /// Refused, failed, cancelled or lost: the length so far is only a lower bound.
    Incomplete,
};

} // namespace cranberry
