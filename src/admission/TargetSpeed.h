#pragma once

#include "base/Units.h"

namespace cranberry {

/// A decayed mean with the number of observations that it stands for.
struct ObservedMean {
    double value = 0;
    double samples = 0;
};

/// What was observed of a target. Members without samples are not known.
struct TargetSpeed {
    /// Time of service of a plain request that does not queue, in ms.
    ObservedMean service;
    /// Prompt tokens that an engine reads per ms.
    ObservedMean reading;
    /// Time that an engine takes for a generated token, in ms.
    ObservedMean pace;
};

/// Adds one observation; about the last 16 count. Thread safety: none.
void observe(ObservedMean &mean, double value);

/// @p speed after @p age: what was observed counts half as much each 5 s, so that few new
/// observations of a target that has changed outweigh many old ones. Thread-safe.
TargetSpeed aged(const TargetSpeed &speed, Milliseconds age);

/// The time of service of a request that took @p time at a target with @p slotCount slots, where
/// @p running requests were, including this one: requests beyond the slots take turns. Thread-safe.
double serviceTime(double time, int running, int slotCount);

/// The mean of @p a and @p b by samples. Thread-safe.
ObservedMean merged(const ObservedMean &a, const ObservedMean &b);
TargetSpeed merged(const TargetSpeed &a, const TargetSpeed &b);

/// The expected time of a request at a target with @p slotCount slots and a time of service of @p
/// service, where @p running other requests are. Thread-safe.
double expectedTime(double service, int running, int slotCount);

} // namespace cranberry
