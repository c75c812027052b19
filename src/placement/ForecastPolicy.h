// Defines the forecast policy, which keeps targets from running out of memory.
#pragma once

#include "configuration/Configuration.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QList>

namespace cranberry {

/// What a service's objective sets.
struct ForecastSettings {
    /// Standard deviations of the margin.
    double sigmas = 2;
    /// Prompt tokens that may be in flight on a target.
    Tokens prefillBudget;
};

/// Thread-safe.
ForecastSettings forecastSettings(const ServiceConfiguration &service);

/// The part of its memory that @p target would fill with @p request, less what a cached prefix
/// and a near data centre are worth; smaller is better. Thread-safe.
double placementScore(const PlacementRequest &request, const ForecastSettings &settings,
                      const TargetLoad &target);

/// Among the targets that have room for @p request the one under least pressure; a cached
/// prefix and a near data centre count as a little less of it. Wait if none has room.
/// Precondition: @p usable is not empty. Thread-safe.
Placement placeForecast(const PlacementRequest &request, const ForecastSettings &settings,
                        const QList<TargetLoad> &usable, quint64 draw);

} // namespace cranberry
