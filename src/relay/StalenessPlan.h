// Defines stalenessStep, by which a daemon keeps its copies of the platform's store within a bound
// of staleness.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// The age of what was never confirmed; longer than any bound.
constexpr Milliseconds UnknownAge{3'600'000};

/// Within these times after its acknowledgement a change is to be in force at every daemon.
struct StalenessBounds {
    /// What the operator writes.
    Milliseconds configuration{2000};
    /// A target that leaves gets no more requests.
    Milliseconds targets{2000};
};

/// What a daemon knows of how old a copy of it may be.
struct StalenessView {
    /// All that was written until so long ago is here.
    Milliseconds age = UnknownAge;
    /// Of StalenessBounds.
    Milliseconds bound{0};
    /// The store did not serve this daemon a moment ago.
    bool isTurnedAway = false;
    /// From 0 to 1, drawn by each daemon anew after each read, so that one of them reads first and
    /// the others learn from it.
    double draw = 1;
    /// Its own watch is open, so that changes come by themselves.
    bool hasOwnWatch = false;
    /// Since the store last did not serve a call of this daemon, for a copy that is worth another
    /// call while isTurnedAway holds.
    Milliseconds sinceRefused{0};
};

enum class StalenessStep {
    Wait,
    /// Another daemon may be fresher.
    AskPeer,
    ReadStore,
};

/// As log lines name it. Thread-safe.
const char *textOf(StalenessStep step);

/// A daemon that others feed can believe itself fed and be stale in many ways: the daemons that
/// watch are turned away or deaf, a link drops one way, the one that passes changes on has itself
/// missed them. Then a key that was taken away goes on working. Whatever the cause, the daemon sees
/// by its own clock that nobody confirms what it has, and asks while there is time left.
/// Peers go first, as calls to a store that is down for all are wasted. Thread-safe.
StalenessStep stalenessStep(const StalenessView &view);

/// Whether routes and keys that are not known here do not exist: a newer version that has them
/// need not be in force yet. Thread-safe.
bool isWithinBound(const StalenessView &view);

/// How long a watch waits for a change, so that those who rely on it are sure of what was there
/// less than half of @p bound ago: a watch confirms the moment at which it was opened, and the
/// next one is answered a wait later. Thread-safe.
Milliseconds stalenessWatchWait(Milliseconds bound);

} // namespace cranberry
