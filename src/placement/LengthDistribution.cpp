#include "placement/LengthDistribution.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Below this survival probability the distribution gives no information; such an answer is
/// predicted to double its length.
constexpr double MinSurvival = 1e-6;

struct BinEdges {
    BinEdges()
    {
        for (int i = 0; i <= LengthBinCount; ++i)
            values[size_t(i)] = std::pow(MaxLengthTokens, double(i) / LengthBinCount);
    }
    std::array<double, LengthBinCount + 1> values{};
};

const BinEdges &binEdges()
{
    static const BinEdges computed;
    return computed;
}

int binIndex(double tokens)
{
    static const double binsPerLog = LengthBinCount / std::log(MaxLengthTokens);
    return std::clamp(int(std::log(tokens) * binsPerLog), 0, LengthBinCount - 1);
}

/// Integral of the survival function from @p from tokens on. Divided by the survival at @p from it
/// is the mean remaining length.
double survivalIntegral(const LengthDistribution &length, double from)
{
    double sum = 0;
    double previous = survivalAt(length, from);
    double previousEdge = from;
    for (int i = binIndex(std::max(from, 1.0)) + 1; i <= LengthBinCount; ++i) {
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
    return binEdges().values[size_t(bin)];
}

double survivalAt(const LengthDistribution &length, double tokens)
{
    if (tokens <= 1)
        return 1;
    if (tokens >= MaxLengthTokens)
        return 0;
    const int bin = binIndex(tokens);
    const double low = lengthEdge(bin);
    const double part = (tokens - low) / (lengthEdge(bin + 1) - low);
    const double above = length.survival[size_t(bin)];
    return above + (length.survival[size_t(bin) + 1] - above) * std::clamp(part, 0.0, 1.0);
}

double conditionalSurvival(const LengthDistribution &length, Tokens generated, double further)
{
    const auto reached = double(generated.value());
    const double surviving = survivalAt(length, reached);
    if (surviving < MinSurvival)
        return further < reached ? 1 : 0;
    return survivalAt(length, reached + further) / surviving;
}

RemainingLength remainingLength(const LengthDistribution &length, Tokens generated)
{
    const auto reached = double(generated.value());
    const double surviving = survivalAt(length, reached);
    if (surviving < MinSurvival)
        return {reached, reached * reached};
    const double mean = survivalIntegral(length, reached) / surviving;
    // E[X^2] is the integral of 2 * x * P(X > x), summed over the bins.
    double square = 0;
    double previousEdge = reached;
    double previous = surviving;
    for (int i = binIndex(std::max(reached, 1.0)) + 1; i <= LengthBinCount; ++i) {
        const double edge = lengthEdge(i);
        const double middle = (edge + previousEdge) / 2 - reached;
        const double next = length.survival[size_t(i)];
        square += 2 * middle * (edge - previousEdge) * (previous + next) / 2;
        previousEdge = edge;
        previous = next;
    }
    return {mean, std::max(0.0, square / surviving - mean * mean)};
}

double steadyStateSurvival(const LengthDistribution &length, double further)
{
    const double all = survivalIntegral(length, 0);
    return all > 0 ? survivalIntegral(length, further) / all : 0;
}

} // namespace cranberry
