// Defines EngineTraits, what the engines of a service can do.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct EngineTraits {
    int batchSlots = 0;
    /// Memory for prompts and generated tokens.
    Tokens memory;
    /// A running generation can be copied to another engine and go on there.
    bool canMove = false;
    /// Room can be kept free for a request for at most this time; zero if it cannot.
    Milliseconds longestReservation{0};
    /// Tokens in one event of a stream.
    int tokensPerEvent = 1;
};

} // namespace cranberry
