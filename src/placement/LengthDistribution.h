// Defines LengthDistribution, what is believed of the length of one answer.
#pragma once

#include "base/Units.h"

#include <array>

namespace cranberry {

/// Bins of lengths; their edges grow by a constant factor from 1 to LongestLength tokens.
constexpr int LengthBins = 24;
constexpr double LongestLength = 65'536;

struct LengthDistribution {
    /// survival[i] is the chance that the answer is longer than lengthEdge(i); it falls from 1
    /// to 0.
    std::array<double, LengthBins + 1> survival{};
};

struct RemainingLength {
    double mean = 0;
    double variance = 0;
};

/// Lower edge of bin @p bin in tokens; of LengthBins the upper edge of all. Thread-safe.
double lengthEdge(int bin);

/// The chance that the answer is longer than @p tokens. Thread-safe.
double survivalAt(const LengthDistribution &length, double tokens);

/// The chance that an answer that has @p generated tokens and goes on has more than @p further
/// to come. Thread-safe.
double survivalAfter(const LengthDistribution &length, Tokens generated, double further);

/// What is still to come of an answer that has @p generated tokens and goes on. Thread-safe.
RemainingLength remainingLength(const LengthDistribution &length, Tokens generated);

/// Of many answers under way at a moment, the part that has more than @p further tokens to
/// come: the age of each is unknown and spread as in a steady flow. Thread-safe.
double steadySurvival(const LengthDistribution &length, double further);

} // namespace cranberry
