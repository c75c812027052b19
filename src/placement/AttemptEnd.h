// Defines AttemptEnd, how a send to a target ended.
#pragma once

namespace cranberry {

enum class AttemptEnd {
    /// The target said that the answer is complete; its length is a sample.
    Finished,
    /// Refused, failed, cancelled or lost: only a lower bound of the length is known.
    CutOff,
};

} // namespace cranberry
