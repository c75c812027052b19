// Defines coldPace, how often one daemon sends to a target that has just started.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// A target that has just started bears few requests and crashes well above that, and all daemons
/// find it empty in the same moment. Each one takes an equal part of what the target bears, by the
/// number of daemons: nothing has to be agreed on, so that the sum holds for daemons that are cut
/// off from each other too, which only count more daemons than they hear of.
/// Returns the time between two requests of one of @p daemons daemons to a target that bears
/// @p perSecond requests a second; zero if it bears any number.
/// Precondition: @p daemons is positive. Thread-safe.
Milliseconds coldPace(double perSecond, int daemons);

/// Until the first request of a daemon that learns that a target is cold. With a moment of its own
/// each, more daemons than the target bears requests a second do not all send one at once.
/// Precondition: @p draw is drawn from 0 to 1. Thread-safe.
Milliseconds firstColdDelay(Milliseconds pace, double draw);

} // namespace cranberry
