// Defines how the requests of a load are drawn from its seed.
#pragma once

#include "load/PlannedRequest.h"
#include "load/TrafficMix.h"

#include <QList>

namespace cranberry::load {

/// Requests with Poisson arrivals, in order of time. Equal arguments give equal requests.
/// Precondition: @p mix has a key, and positive rate and duration. Thread-safe.
QList<PlannedRequest> planArrivals(const TrafficMix &mix, quint64 seed);

} // namespace cranberry::load
