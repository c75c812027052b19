#include "relay/OutputForecast.h"

#include "relay/RelayRequest.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Slope of the output's logarithm over that of the announced output.
constexpr double AnnouncedWeight = 0.4;
/// The mean of lengths over their median: their logarithms spread by 0.76 around the forecast.
constexpr double MeanOverMedian = 1.34;
/// The median as part of the most that requests allow, as long as no answer was seen.
constexpr double TypicalPart = 0.25;
/// Answers that count as much as that guess.
constexpr double GuessWeight = 8;

double logarithm(Tokens tokens)
{
    return std::log(double(std::max(tokens.value(), qint64(1))));
}

} // namespace

double OutputForecast::typicalLogarithm(const QString &route, Tokens most) const
{
    const double guess = logarithm(most) + std::log(TypicalPart);
    const RouteLengths seen = m_routes.value(route);
    return (GuessWeight * guess + seen.logarithms) / (GuessWeight + seen.answers);
}

Tokens OutputForecast::expected(const QString &route, const RelayRequest &request) const
{
    const double typical = typicalLogarithm(route, request.mostOutput);
    const double announced = request.expectedOutput ? logarithm(*request.expectedOutput) : typical;
    const double median = std::exp(typical + AnnouncedWeight * (announced - typical));
    const Tokens mean(std::llround(MeanOverMedian * median));
    const Tokens most = std::max(request.mostOutput, Tokens(1));
    return std::clamp(mean, Tokens(1), most);
}

void OutputForecast::finished(const QString &route, Tokens output)
{
    RouteLengths &lengths = m_routes[route];
    ++lengths.answers;
    lengths.logarithms += logarithm(output);
}

} // namespace cranberry
