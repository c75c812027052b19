// Defines watchesStore, which daemons watch the platform's store for the others.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// Watchers of a fleet; two, so that one that dies or is cut off leaves the other.
constexpr int Watchers = 2;

/// What a daemon knows of those that may watch for it.
struct FeedView {
    /// It has a group whose daemons feed each other; alone each one watches.
    bool hasGroup = false;
    /// Daemons of the group that come before it in the order that all share.
    int rankInGroup = 0;
    /// Daemons anywhere that watch, are heard of, and come before it in that order.
    int watchersBefore = 0;
    /// Daemons anywhere that watch and are heard of.
    int watchers = 0;
    /// The store did not serve this daemon a moment ago.
    bool isTurnedAway = false;
};

/// One of the two that hear for their group: it passes on what watchers elsewhere tell.
bool isGroupHead(const FeedView &view);

/// Whether a daemon opens watches of its own while all that it hears of is well. Two of the heads
/// of all groups do; the next in order steps in for one that dies, is cut off or is turned away by
/// the store. The calls of watches grow with the changes only, neither with daemons nor with data
/// centres. Thread-safe.
bool watchesStore(const FeedView &view);

/// How long a daemon waits before it tries the store itself when its heads live and say that they
/// have lost it. The store may have turned away the heads alone: then the others must find out in
/// time for a new configuration to be in force within two seconds, and were still waiting when a
/// key that was taken away had to be refused. One that was refused itself waits longer, as calls to
/// a store that is down for all are wasted. Precondition: @p draw is drawn from 0 to 1, so that
/// daemons do not call together. Thread-safe.
Milliseconds probeDelay(bool wasRefused, double draw);

} // namespace cranberry
