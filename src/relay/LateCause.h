#pragma once

#include "base/Units.h"

#include <cstddef>

namespace cranberry {

struct RelayRoute;

/// Why an answer is later than its route promises.
enum class LateCause {
    OnTime,
    /// The answer, or the first event of a stream, came after the objective.
    Answer,
    /// Moving the stream to another engine took longer than the longest pause.
    MovePause,
    /// Another pause between two events was too long.
    Pause,
};
constexpr std::size_t LateCauseCount = 4;

/// The name of @p cause in logs and metrics. Thread-safe.
const char *lateCauseName(LateCause cause);

/// The first cause, in the order above, that applies to an answer on @p route: @p toAnswer until it
/// or its first event, with the longest pauses @p pause and, by a move, @p movePause. Thread-safe.
LateCause lateCause(const RelayRoute &route, Milliseconds toAnswer, Milliseconds movePause,
                    Milliseconds pause);

} // namespace cranberry
