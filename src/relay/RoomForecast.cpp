#include "relay/RoomForecast.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Weight of the earlier sums when another generation ends; the sums cover about thirty
/// generations.
constexpr double DecayFactor = 0.97;
/// Used until a generation has ended.
constexpr Milliseconds InitialDelay{8000};
constexpr Milliseconds MinDelay{600};
/// Callers wait for at most a third of their remaining time.
constexpr Milliseconds MaxDelay{12000};

} // namespace

void recordHolding(RoomForecast &forecast, Tokens tokens, Milliseconds duration)
{
    const double tokenMilliseconds = double(tokens.value()) * double(duration.count());
    forecast.tokenMilliseconds = DecayFactor * forecast.tokenMilliseconds + tokenMilliseconds;
    forecast.tokenSquareMilliseconds = DecayFactor * forecast.tokenSquareMilliseconds
        + tokenMilliseconds * double(duration.count());
}

Milliseconds expectedRoomDelay(const RoomForecast &forecast)
{
    if (forecast.tokenMilliseconds <= 0)
        return InitialDelay;
    const Milliseconds mean(qint64(forecast.tokenSquareMilliseconds / forecast.tokenMilliseconds));
    return std::clamp(mean, MinDelay, MaxDelay);
}

} // namespace cranberry
