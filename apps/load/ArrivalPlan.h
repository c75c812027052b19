#pragma once

#include "load/PlannedRequest.h"
#include "load/TrafficMix.h"

#include <QList>

namespace cranberry::load {

/// Draws requests with Poisson arrivals from @p seed, in time order. Equal arguments give equal
/// requests.
/// Precondition: @p mix has at least one key, a positive rate and a positive duration. Thread-safe.
QList<PlannedRequest> planArrivals(const TrafficMix &mix, quint64 seed);

} // namespace cranberry::load
