#include "relay/FeedPlan.h"

namespace cranberry {

namespace {

/// Hundreds of daemons are spread over this time; with a heartbeat and a question to a peer it
/// stays under a second and a half.
constexpr Milliseconds FirstProbe{600};
/// Between further tries, by the mean: the heads try all the while.
constexpr Milliseconds FurtherProbe{4000};

} // namespace

bool isGroupHead(const FeedView &view)
{
    return view.hasGroup && view.rankInGroup < Watchers;
}

bool watchesStore(const FeedView &view)
{
    if (!view.hasGroup)
        return true;
    if (!isGroupHead(view))
        return false;
    if (view.isTurnedAway && view.watchers > 0)
        return false;
    return view.watchersBefore < Watchers;
}

Milliseconds probeDelay(bool wasRefused, double draw)
{
    const std::chrono::duration<double, std::milli> delay = wasRefused
        ? std::chrono::duration<double, std::milli>(FurtherProbe) * (0.5 + draw)
        : std::chrono::duration<double, std::milli>(FirstProbe) * draw;
    return std::chrono::duration_cast<Milliseconds>(delay);
}

} // namespace cranberry
