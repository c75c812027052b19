#include "relay/RoomForecast.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Weight of what was known when a further generation ends: some thirty count.
constexpr double Kept = 0.97;
/// Before any generation has ended.
constexpr Milliseconds FirstGuess{8000};
constexpr Milliseconds Least{600};
/// Callers heed no more than a third of the time that they have left.
constexpr Milliseconds Most{12000};

} // namespace

void noteHolding(RoomForecast &forecast, Tokens tokens, Milliseconds duration)
{
    const double held = double(tokens.value()) * double(duration.count());
    forecast.held = Kept * forecast.held + held;
    forecast.heldSquared = Kept * forecast.heldSquared + held * double(duration.count());
}

Milliseconds expectedRoom(const RoomForecast &forecast)
{
    if (forecast.held <= 0)
        return FirstGuess;
    const Milliseconds mean(qint64(forecast.heldSquared / forecast.held));
    return std::clamp(mean, Least, Most);
}

} // namespace cranberry
