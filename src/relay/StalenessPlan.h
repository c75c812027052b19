#pragma once

#include "base/Units.h"

namespace cranberry {

/// The age of a copy that was never confirmed. Exceeds every bound.
constexpr Milliseconds UnknownAge{3'600'000};

/// The maximum times from the acknowledgement of a change until it is in force at every daemon.
struct StalenessBounds {
    /// For the keys that the operator writes.
    Milliseconds configuration{2000};
    /// For targets that leave and must get no more requests.
    Milliseconds targets{2000};
};

/// What a daemon knows about the staleness of one of its copies.
struct StalenessView {
    /// The copy includes everything that was written until this long ago.
    Milliseconds age = UnknownAge;
    /// The bound of the copy, from StalenessBounds.
    Milliseconds bound{0};
    /// The store did not serve a recent call of this daemon.
    bool isRejectedByStore = false;
    /// From 0 to 1, drawn anew by each daemon after each read, so that one daemon reads first and
    /// the others learn from it.
    double randomFraction = 1;
    /// The daemon's own watch is open and delivers changes.
    bool hasOwnWatch = false;
    /// The time since the store last did not serve a call of this daemon. Used for a copy that is
    /// worth another call while isRejectedByStore is set.
    Milliseconds timeSinceRefusal{0};
};

enum class StalenessStep {
    Wait,
    /// Another daemon may have a fresher copy.
    AskPeer,
    ReadStore,
};

/// The name of @p step in log lines. Thread-safe.
const char *textOf(StalenessStep step);

/// Decides how a daemon keeps its copies of the platform's store within a bound of staleness.
/// Returns what a daemon does about the age of a copy. A daemon that relies on others can be stale
/// without noticing it: the watching daemons may be refused by the store or receive nothing, a link
/// may drop messages in one direction, or the daemon that forwards changes may have missed them
/// itself. A revoked key would then remain valid. Whatever the cause, the daemon sees by its own
/// clock that its copy is not confirmed, and asks while there is time left. Peers are asked first,
/// as calls to a store that is down for all are wasted. Thread-safe.
StalenessStep stalenessStep(const StalenessView &view);

/// Whether the copy is fresh enough to conclude that routes and keys unknown here do not exist: a
/// newer version that includes them need not be in force yet. Thread-safe.
bool isWithinBound(const StalenessView &view);

/// Returns how long a watch waits for a change, such that daemons that rely on it have their copy
/// confirmed as of less than half of @p bound ago: a watch confirms the time at which it was
/// opened, and the next one is answered one wait later. Thread-safe.
Milliseconds stalenessWatchWait(Milliseconds bound);

} // namespace cranberry
