#include "relay/ColdPace.h"

#include <cmath>

namespace cranberry {

namespace {

constexpr double MillisecondsPerSecond = 1000;

} // namespace

Milliseconds coldPace(double requestsPerSecond, int daemons)
{
    if (requestsPerSecond <= 0)
        return Milliseconds(0);
    return Milliseconds(qint64(std::ceil(MillisecondsPerSecond * daemons / requestsPerSecond)));
}

Milliseconds firstColdDelay(Milliseconds pace, double randomFraction)
{
    return Milliseconds(qint64(double(pace.count()) * randomFraction));
}

} // namespace cranberry
