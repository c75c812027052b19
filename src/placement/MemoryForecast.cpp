#include "placement/MemoryForecast.h"

#include <boost/math/special_functions/erf.hpp>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Engines give out memory in blocks; a request wastes a part of its last one.
constexpr double BlockWaste = 8;

} // namespace

MemoryForecast &MemoryForecast::operator+=(const MemoryForecast &other)
{
    for (size_t i = 0; i < Horizons.size(); ++i) {
        mean[i] += other.mean[i];
        variance[i] += other.variance[i];
    }
    return *this;
}

MemoryForecast &MemoryForecast::operator-=(const MemoryForecast &other)
{
    for (size_t i = 0; i < Horizons.size(); ++i) {
        mean[i] -= other.mean[i];
        variance[i] -= other.variance[i];
    }
    return *this;
}

MemoryForecast forecastRequest(const LengthDistribution &length, Tokens held, Tokens generated)
{
    MemoryForecast forecast;
    const double now = double(held.value()) + BlockWaste;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double alive = survivalAfter(length, generated, Horizons[i]);
        const double size = now + Horizons[i];
        forecast.mean[i] = size * alive;
        forecast.variance[i] = size * size * alive * (1 - alive);
    }
    return forecast;
}

SteadyForecast forecastSteady(const LengthDistribution &length)
{
    SteadyForecast steady;
    for (size_t i = 0; i < Horizons.size(); ++i)
        steady[i] = steadySurvival(length, Horizons[i]);
    return steady;
}

MemoryForecast forecastOthers(const SteadyForecast &steady, int requests, Tokens held)
{
    MemoryForecast forecast;
    if (requests <= 0) {
        forecast.mean.fill(double(held.value()));
        return forecast;
    }
    const double each = double(held.value()) / requests + BlockWaste;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double size = each + Horizons[i];
        forecast.mean[i] = requests * size * steady[i];
        forecast.variance[i] = requests * size * size * steady[i] * (1 - steady[i]);
    }
    return forecast;
}

double pressure(const MemoryForecast &forecast, Tokens capacity, double sigmas)
{
    double most = 0;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double margin = sigmas * std::sqrt(std::max(forecast.variance[i], 0.0));
        most = std::max(most, forecast.mean[i] + margin);
    }
    return most / double(capacity.value());
}

double sigmasFor(double chance)
{
    return std::sqrt(2.0) * boost::math::erfc_inv(2 * chance);
}

} // namespace cranberry
