#pragma once

#include "base/Units.h"

namespace cranberry {

/// Estimates when full engines have room again. Exponentially weighted sums over generations that
/// have ended: memory in tokens times holding time in ms, and memory times the square of the
/// holding time.
struct RoomForecast {
    double tokenMilliseconds = 0;
    double tokenSquareMilliseconds = 0;
};

/// Records that a generation held @p tokens of memory for @p duration. Thread safety: none.
void recordHolding(RoomForecast &forecast, Tokens tokens, Milliseconds duration);

/// Returns the expected total holding time of the memory in use, weighted by memory and time: at
/// any moment, memory is most likely held by a long generation. A caller whose answer is late
/// anyway should retry after this time. An earlier retry finds the same engines full, and a request
/// that waits here is lost if this daemon ends. Thread-safe.
Milliseconds expectedRoomDelay(const RoomForecast &forecast);

} // namespace cranberry
