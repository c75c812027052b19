#include "placement/MemoryForecast.h"

#include <boost/math/special_functions/erf.hpp>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Tokens allowed for the unused part of a request's last memory block; engines allocate memory in
/// blocks.
constexpr double BlockOverheadTokens = 8;

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
    const double now = double(held.value()) + BlockOverheadTokens;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double surviving = conditionalSurvival(length, generated, Horizons[i]);
        const double size = now + Horizons[i];
        forecast.mean[i] = size * surviving;
        forecast.variance[i] = size * size * surviving * (1 - surviving);
    }
    return forecast;
}

SteadyStateSurvival forecastSteadyState(const LengthDistribution &length)
{
    SteadyStateSurvival steady;
    for (size_t i = 0; i < Horizons.size(); ++i)
        steady[i] = steadyStateSurvival(length, Horizons[i]);
    return steady;
}

MemoryForecast forecastRemoteRequests(const SteadyStateSurvival &steady, int requests, Tokens held)
{
    MemoryForecast forecast;
    if (requests <= 0) {
        forecast.mean.fill(double(held.value()));
        return forecast;
    }
    const double perRequest = double(held.value()) / requests + BlockOverheadTokens;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double size = perRequest + Horizons[i];
        forecast.mean[i] = requests * size * steady[i];
        forecast.variance[i] = requests * size * size * steady[i] * (1 - steady[i]);
    }
    return forecast;
}

double memoryPressure(const MemoryForecast &forecast, Tokens capacity, double sigmas)
{
    double maxTokens = 0;
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double margin = sigmas * std::sqrt(std::max(forecast.variance[i], 0.0));
        maxTokens = std::max(maxTokens, forecast.mean[i] + margin);
    }
    return maxTokens / double(capacity.value());
}

double normalUpperQuantile(double chance)
{
    return std::sqrt(2.0) * boost::math::erfc_inv(2 * chance);
}

} // namespace cranberry
