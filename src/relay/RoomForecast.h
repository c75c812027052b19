// Defines RoomForecast, when engines that are full will have room again.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// Of generations that have ended, the newer ones counting more: tokens of memory times ms for
/// which they were held, and the same times ms once more.
struct RoomForecast {
    double held = 0;
    double heldSquared = 0;
};

/// A generation held @p tokens of memory for @p duration. Thread safety: none.
void noteHolding(RoomForecast &forecast, Tokens tokens, Milliseconds duration);

/// How long what takes the engines' memory now holds it in all: a part of memory looked at at any
/// moment is most likely held by a long generation. A caller whose answer is late anyway does well
/// to come back when these have ended; earlier it finds the same engines full, and one that waited
/// here would be lost if this daemon ends. Thread-safe.
Milliseconds expectedRoom(const RoomForecast &forecast);

} // namespace cranberry
