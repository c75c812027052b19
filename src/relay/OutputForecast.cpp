#include "relay/OutputForecast.h"

#include "relay/RelayRequest.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Slope of the logarithm of the output length over the logarithm of the hint.
constexpr double HintWeight = 0.4;
/// Ratio of the mean length to the median; the standard deviation of the logarithm around the
/// forecast is 0.76.
constexpr double MeanToMedianRatio = 1.34;
/// Assumed median as a fraction of the maximum output, until answers have been recorded.
constexpr double PriorMedianFraction = 0.25;
/// Number of recorded answers that weigh as much as the assumed median.
constexpr double PriorWeight = 8;

double logLength(Tokens tokens)
{
    return std::log(double(std::max(tokens.value(), qint64(1))));
}

} // namespace

double OutputForecast::typicalLogLength(const QString &route, Tokens maxOutput) const
{
    const double prior = logLength(maxOutput) + std::log(PriorMedianFraction);
    const RouteLengths seen = m_routes.value(route);
    return (PriorWeight * prior + seen.logSum) / (PriorWeight + seen.answers);
}

Tokens OutputForecast::expected(const QString &route, const RelayRequest &request) const
{
    const double typical = typicalLogLength(route, request.maxOutput);
    const double hinted = request.expectedOutput ? logLength(*request.expectedOutput) : typical;
    const double median = std::exp(typical + HintWeight * (hinted - typical));
    const Tokens mean(std::llround(MeanToMedianRatio * median));
    const Tokens maxOutput = std::max(request.maxOutput, Tokens(1));
    return std::clamp(mean, Tokens(1), maxOutput);
}

void OutputForecast::recordAnswer(const QString &route, Tokens output)
{
    RouteLengths &lengths = m_routes[route];
    ++lengths.answers;
    lengths.logSum += logLength(output);
}

} // namespace cranberry
