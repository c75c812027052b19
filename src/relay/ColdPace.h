#pragma once

#include "base/Units.h"

namespace cranberry {

/// A target that has just started can handle few requests, crashes if it receives many more, and
/// looks empty to all daemons at the same time. Each daemon uses an equal share of the rate that
/// the target can handle, computed from the number of daemons. This needs no coordination. The
/// total stays within the rate also when daemons are partitioned, because they count more daemons
/// than they are in contact with.
/// Returns the interval between two requests of one of @p daemons daemons to a target that handles
/// @p requestsPerSecond requests per second; zero if the rate is unlimited.
/// Precondition: @p daemons is positive. Thread-safe.
Milliseconds coldPace(double requestsPerSecond, int daemons);

/// Delay of the first request of a daemon that learns of a cold target. It is random, because
/// otherwise all daemons would send their first request at once and exceed the rate of the target
/// if there are more daemons than requests per second.
/// Precondition: @p randomFraction is a random number from 0 to 1. Thread-safe.
Milliseconds firstColdDelay(Milliseconds pace, double randomFraction);

} // namespace cranberry
