#pragma once

#include "base/Units.h"

namespace cranberry {

/// The capabilities of a service's engines.
struct EngineTraits {
    int batchSlots = 0;
    /// Memory for prompts and generated tokens.
    Tokens memory;
    /// A running generation can be copied to another engine and continue there.
    bool canMove = false;
    /// The engine can send what a generation adds to another engine while the generation runs.
    bool canBackUp = false;
    /// Maximum time for which the engine reserves room for a request; zero if it cannot.
    Milliseconds maxReservation{0};
    /// Memory of one token and bandwidth of an engine's link, which give the time of a copy to
    /// another engine; zero if they are not known.
    Bytes bytesPerToken;
    double linkMegabitsPerSecond = 0;
    /// Tokens in one event of a stream.
    int tokensPerEvent = 1;
};

} // namespace cranberry
