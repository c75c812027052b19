// Defines how long claims of a shard are gathered for one write.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// How often claims of a shard come, decayed over some seconds.
struct ArrivalRate {
    double perSecond = 0;
    MonotonicTime last;
};

/// @p rate after one more claim at @p now. Thread-safe.
ArrivalRate afterArrival(const ArrivalRate &rate, MonotonicTime now);

/// How long claims are gathered at @p rate: zero while each can have a write of its own, then
/// as long as keeps the shard near its share of writes, up to @p longest. Thread-safe.
Milliseconds gatherWindow(const ArrivalRate &rate, MonotonicTime now, Milliseconds longest);

} // namespace cranberry
