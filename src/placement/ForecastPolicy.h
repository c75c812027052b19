#pragma once

#include "configuration/Configuration.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QList>

namespace cranberry {

/// Policy parameters derived from a service's objective.
struct ForecastSettings {
    /// Safety margin, in standard deviations of the predicted memory use.
    double sigmas = 2;
    /// Maximum number of prompt tokens in prefill on one target at a time.
    Tokens prefillBudget;
};

/// Thread-safe.
ForecastSettings forecastSettings(const ServiceConfiguration &service);

/// Predicted memory pressure of @p target with @p request added, minus the bonuses for a cached
/// prefix and for the same data centre. Lower is better. Thread-safe.
double placementScore(const PlacementRequest &request, const ForecastSettings &settings,
                      const TargetLoad &target);

/// Places by predicted memory use, so that targets do not run out of memory. Chooses the target
/// with the lowest score among those with capacity for @p request. The outcome is Wait if none has
/// capacity. @p draw breaks ties. Precondition: @p usable is not empty. Thread-safe.
Placement placeForecast(const PlacementRequest &request, const ForecastSettings &settings,
                        const QList<TargetLoad> &usable, quint64 draw);

} // namespace cranberry
