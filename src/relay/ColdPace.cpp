#include "relay/ColdPace.h"

#include <cmath>

namespace cranberry {

namespace {

constexpr double MillisecondsPerSecond = 1000;

} // namespace

Milliseconds coldPace(double perSecond, int daemons)
{
    if (perSecond <= 0)
        return Milliseconds(0);
    return Milliseconds(qint64(std::ceil(MillisecondsPerSecond * daemons / perSecond)));
}

Milliseconds firstColdDelay(Milliseconds pace, double draw)
{
    return Milliseconds(qint64(double(pace.count()) * draw));
}

} // namespace cranberry
