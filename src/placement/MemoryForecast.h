#pragma once

#include "placement/LengthDistribution.h"

#include <array>

namespace cranberry {

/// Forecast horizons, in tokens that each stream generates until then.
constexpr std::array<double, 8> Horizons{1, 16, 48, 112, 256, 512, 1024, 2560};

/// The predicted memory use of requests: mean and variance of the number of resident tokens at each
/// of Horizons. Forecasts of independent requests are additive.
struct MemoryForecast {
    std::array<double, Horizons.size()> mean{};
    std::array<double, Horizons.size()> variance{};

    MemoryForecast &operator+=(const MemoryForecast &other);
    MemoryForecast &operator-=(const MemoryForecast &other);
};

/// Forecast of one request that holds @p held tokens, of which @p generated belong to its answer.
/// The request grows by one token per step and frees its memory when its answer ends. Thread-safe.
MemoryForecast forecastRequest(const LengthDistribution &length, Tokens held, Tokens generated);

/// Fraction of the answers now in progress that are still in progress at each of Horizons.
using SteadyStateSurvival = std::array<double, Horizons.size()>;

/// Fractions for answers of distribution @p length whose progress is unknown. Thread-safe.
SteadyStateSurvival forecastSteadyState(const LengthDistribution &length);

/// Forecast of @p requests requests of other daemons that hold @p held tokens in total.
/// Thread-safe.
MemoryForecast forecastRemoteRequests(const SteadyStateSurvival &steady, int requests, Tokens held);

/// The largest fraction of @p capacity that is used at any horizon, including a margin of @p sigmas
/// standard deviations. Precondition: @p capacity is positive. Thread-safe.
double memoryPressure(const MemoryForecast &forecast, Tokens capacity, double sigmas);

/// Number of standard deviations above the mean that a normal variable exceeds with probability
/// @p chance. Precondition: 0 < chance < 1. Thread-safe.
double normalUpperQuantile(double chance);

} // namespace cranberry
