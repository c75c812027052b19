#pragma once

#include "admission/FleetDemand.h"

#include <map>
#include <utility>

namespace cranberry {

/// Exponentially decayed rates of what one daemon places for one service. Placements are counted,
/// and decay, only while requests wait anywhere in the fleet: their rate is then the
/// one at which room becomes free, and it is known at the start of the next overload.
struct DemandRecorder {
    /// Room seconds by level and whether the requests are brief.
    std::map<std::pair<int, bool>, double> placed;
    double placements = 0;
    double busySeconds = 0;
    bool isBusy = false;
    /// A request was placed since requests wait. Before, targets may work off requests that they
    /// took before, which says nothing about the rate.
    bool isMeasuring = false;
    std::optional<MonotonicTime> updatedAt;
};

/// Records whether requests wait from @p now on. Thread safety: none.
void recordBusy(DemandRecorder &recorder, bool isBusy, MonotonicTime now);

/// Records that @p roomSeconds of @p urgency were placed. Thread safety: none.
void recordPlaced(DemandRecorder &recorder, const Urgency &urgency, double roomSeconds,
                  MonotonicTime now);

/// Sets the rates of @p demand to those of @p recorder at @p now. Levels without placements are
/// left out. Thread safety: none.
void setRates(DaemonDemand &demand, DemandRecorder &recorder, MonotonicTime now);

} // namespace cranberry
