#pragma once

#include "base/Units.h"

#include <cstddef>

namespace cranberry {

struct MoveOutcome;

/// What became of an order to stop a generation.
enum class StopAnswer {
    /// The engine still ran the generation and stopped it.
    Stopped,
    /// The engine runs no such generation.
    NotRunning,
    /// The engine runs the generation and is copying it. It takes no other order until then.
    Copying,
    /// The order was not delivered.
    NotDelivered,
    /// The answer does not say whether the generation was stopped, or there is none.
    Unclear,
    /// The order has not been answered yet.
    Pending,
};

/// How a stop ended.
enum class StopOutcome {
    /// The generation still ran after its connection was closed.
    Stopped,
    NotRunning,
    /// The target is no longer known and accepts no connection.
    TargetGone,
    DeadlinePassed,
};
constexpr std::size_t StopOutcomeCount = 4;

/// The name used in log lines and metrics. Thread-safe.
const char *stopOutcomeName(StopOutcome outcome);

/// Thread-safe.
StopAnswer stopAnswer(const MoveOutcome &outcome);

/// Whether @p answer shows that the generation does not run at the engine. Thread-safe.
bool hasEnded(StopAnswer answer);

/// Returns how long after order number @p orders the next one is sent. Two engines may run one
/// generation for 400 ms; while the engine answers, the first orders follow each other quickly.
/// Precondition: hasEnded(@p answer) is false and @p orders is positive. Thread-safe.
Milliseconds nextStopDelay(StopAnswer answer, int orders);

} // namespace cranberry
