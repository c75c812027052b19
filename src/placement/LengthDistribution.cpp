#include "placement/LengthDistribution.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Answers that outlive everything known are taken to go on for a while.
constexpr double LeastSurvival = 1e-6;

struct Edges {
    Edges()
    {
        for (int i = 0; i <= LengthBins; ++i)
            at[size_t(i)] = std::pow(LongestLength, double(i) / LengthBins);
    }
    std::array<double, LengthBins + 1> at{};
};

const Edges &edges()
{
    static const Edges computed;
    return computed;
}

int binOf(double tokens)
{
    static const double binsPerLog = LengthBins / std::log(LongestLength);
    return std::clamp(int(std::log(tokens) * binsPerLog), 0, LengthBins - 1);
}

/// Integral of the survival from @p from tokens on: the mean of what lies beyond, times the
/// chance of reaching it.
double survivalIntegral(const LengthDistribution &length, double from)
{
    double sum = 0;
    double previous = survivalAt(length, from);
    double previousEdge = from;
    for (int i = binOf(std::max(from, 1.0)) + 1; i <= LengthBins; ++i) {
        const double next = length.survival[size_t(i)];
        sum += (lengthEdge(i) - previousEdge) * (previous + next) / 2;
        previous = next;
        previousEdge = lengthEdge(i);
    }
    return sum;
}

} // namespace

double lengthEdge(int bin)
{
    return edges().at[size_t(bin)];
}

double survivalAt(const LengthDistribution &length, double tokens)
{
    if (tokens <= 1)
        return 1;
    if (tokens >= LongestLength)
        return 0;
    const int bin = binOf(tokens);
    const double low = lengthEdge(bin);
    const double part = (tokens - low) / (lengthEdge(bin + 1) - low);
    const double above = length.survival[size_t(bin)];
    return above + (length.survival[size_t(bin) + 1] - above) * std::clamp(part, 0.0, 1.0);
}

double survivalAfter(const LengthDistribution &length, Tokens generated, double further)
{
    const auto reached = double(generated.value());
    const double alive = survivalAt(length, reached);
    if (alive < LeastSurvival)
        return further < reached ? 1 : 0;
    return survivalAt(length, reached + further) / alive;
}

RemainingLength remainingLength(const LengthDistribution &length, Tokens generated)
{
    const auto reached = double(generated.value());
    const double alive = survivalAt(length, reached);
    if (alive < LeastSurvival)
        return {reached, reached * reached};
    const double mean = survivalIntegral(length, reached) / alive;
    // E[X^2] is the integral of 2 x P(X > x), taken bin by bin.
    double square = 0;
    double previousEdge = reached;
    double previous = alive;
    for (int i = binOf(std::max(reached, 1.0)) + 1; i <= LengthBins; ++i) {
        const double edge = lengthEdge(i);
        const double middle = (edge + previousEdge) / 2 - reached;
        const double next = length.survival[size_t(i)];
        square += 2 * middle * (edge - previousEdge) * (previous + next) / 2;
        previousEdge = edge;
        previous = next;
    }
    return {mean, std::max(0.0, square / alive - mean * mean)};
}

double steadySurvival(const LengthDistribution &length, double further)
{
    const double all = survivalIntegral(length, 0);
    return all > 0 ? survivalIntegral(length, further) / all : 0;
}

} // namespace cranberry
