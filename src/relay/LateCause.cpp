#include "relay/LateCause.h"

#include "relay/RelayRoute.h"

#include <array>

namespace cranberry {

const char *lateCauseName(LateCause cause)
{
    constexpr std::array<const char *, LateCauseCount> Names{"on_time", "answer", "move_pause",
                                                             "pause"};
    return Names[std::size_t(cause)];
}

LateCause lateCause(const RelayRoute &route, Milliseconds toAnswer, Milliseconds movePause,
                    Milliseconds pause)
{
    if (toAnswer > route.objective)
        return LateCause::Answer;
    if (route.maxPause.count() == 0)
        return LateCause::OnTime;
    if (movePause > route.maxPause)
        return LateCause::MovePause;
    return pause > route.maxPause ? LateCause::Pause : LateCause::OnTime;
}

} // namespace cranberry
