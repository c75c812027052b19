// Defines MemoryForecast, the expected memory of requests at some moments ahead.
#pragma once

#include "placement/LengthDistribution.h"

#include <array>

namespace cranberry {

/// Moments ahead, counted in tokens that each stream generates until then.
constexpr std::array<double, 8> Horizons{1, 16, 48, 112, 256, 512, 1024, 2560};

/// Mean and variance of the tokens resident at each of Horizons. Forecasts of independent
/// requests add up.
struct MemoryForecast {
    std::array<double, Horizons.size()> mean{};
    std::array<double, Horizons.size()> variance{};

    MemoryForecast &operator+=(const MemoryForecast &other);
    MemoryForecast &operator-=(const MemoryForecast &other);
};

/// Of one request that holds @p held tokens, of which @p generated are its answer's.
/// It grows by a token a step and leaves when its answer ends. Thread-safe.
MemoryForecast forecastRequest(const LengthDistribution &length, Tokens held, Tokens generated);

/// Part of the answers under way now that still are at each of Horizons.
using SteadyForecast = std::array<double, Horizons.size()>;

/// For answers of @p length at unknown points of their life. Thread-safe.
SteadyForecast forecastSteady(const LengthDistribution &length);

/// Of @p requests of other daemons that hold @p held tokens together. Thread-safe.
MemoryForecast forecastOthers(const SteadyForecast &steady, int requests, Tokens held);

/// The largest part of @p capacity that is filled at any horizon, with a margin of @p sigmas
/// standard deviations. Precondition: @p capacity is positive. Thread-safe.
double pressure(const MemoryForecast &forecast, Tokens capacity, double sigmas);

/// The margin that a normal variable passes with @p chance. Precondition: 0 < chance < 1.
/// Thread-safe.
double sigmasFor(double chance);

} // namespace cranberry
