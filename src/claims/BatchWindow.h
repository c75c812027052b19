#pragma once

#include "base/Units.h"

namespace cranberry {

/// Arrival rate of the claims of a shard, with exponential decay.
struct ArrivalRate {
    double perSecond = 0;
    MonotonicTime last;
};

/// Returns @p rate after one more claim at @p now. Thread-safe.
ArrivalRate recordArrival(const ArrivalRate &rate, MonotonicTime now);

/// How long claims are collected at @p rate: zero while each claim can have its own write, then
/// long enough to keep the shard near its share of writes, up to @p maxWindow. Thread-safe.
Milliseconds batchWindow(const ArrivalRate &rate, MonotonicTime now, Milliseconds maxWindow);

} // namespace cranberry
