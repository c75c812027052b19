#pragma once

#include "base/Units.h"

namespace cranberry {

/// The number of daemons of a fleet that watch the store. With two, one may die or be cut off.
constexpr int WatcherCount = 2;

/// What a daemon knows about the daemons that may watch the store for it.
struct FeedView {
    /// Whether this daemon has a group whose daemons feed each other. Without a group, each daemon
    /// watches for itself.
    bool hasGroup = false;
    /// The number of daemons of the group that precede this one in the common order.
    int rankInGroup = 0;
    /// The number of daemons of the fleet that watch, are heard of and precede this one in the
    /// common order.
    int watchersBefore = 0;
    /// The number of daemons of the fleet that watch and are heard of.
    int watchers = 0;
    /// The store did not serve a recent call of this daemon.
    bool isRejectedByStore = false;
};

/// Whether the daemon is one of the two heads of its group, which forward to the group what
/// watchers elsewhere send.
bool isGroupHead(const FeedView &view);

/// Whether a daemon watches the platform's store for the others, with watches of its own, while
/// everything that it hears of works. Two of the heads of all groups do; the next head in the order
/// replaces one that dies, is cut off or is refused by the store. The number of watch calls grows
/// only with the changes, not with the number of daemons or data centres. Thread-safe.
bool watchesStore(const FeedView &view);

/// Returns how long a daemon waits before it tries the store itself when its heads are alive and
/// report that they have lost the store. The store may refuse the heads alone: then the other
/// daemons must find out in time for a new configuration to be in force within two seconds. With a
/// longer wait they still accepted a key that had been revoked. A daemon that was refused itself
/// waits longer, as calls to a store that is down for all are wasted.
/// Precondition: @p randomFraction is drawn from 0 to 1, so that daemons do not call together.
/// Thread-safe.
Milliseconds probeDelay(bool wasRefused, double randomFraction);

} // namespace cranberry
