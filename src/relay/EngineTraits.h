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
    /// It can send what a generation adds to another engine while it runs.
    bool canBackUp = false;
    /// Room can be kept free for a request for at most this time; zero if it cannot.
    Milliseconds longestReservation{0};
    /// Memory of one token, and the rate of an engine's link, by which it is copied to another
    /// engine; zero if they are not known.
    Bytes bytesPerToken;
    double linkMegabits = 0;
    /// Tokens in one event of a stream.
    int tokensPerEvent = 1;
};

} // namespace cranberry
