#include "relay/FeedPlan.h"

namespace cranberry {

namespace {

/// The first probes of hundreds of daemons are spread over this time. With a heartbeat and a
/// request to a peer, the total stays under 1.5 s.
constexpr Milliseconds MaxFirstProbeDelay{600};
/// Mean interval of further probes. The heads keep trying in the meantime.
constexpr Milliseconds MeanProbeInterval{4000};

} // namespace

bool isGroupHead(const FeedView &view)
{
    return view.hasGroup && view.rankInGroup < WatcherCount;
}

bool watchesStore(const FeedView &view)
{
    if (!view.hasGroup)
        return true;
    if (!isGroupHead(view))
        return false;
    if (view.isRejectedByStore && view.watchers > 0)
        return false;
    return view.watchersBefore < WatcherCount;
}

Milliseconds probeDelay(bool wasRefused, double randomFraction)
{
    const std::chrono::duration<double, std::milli> delay = wasRefused
        ? std::chrono::duration<double, std::milli>(MeanProbeInterval) * (0.5 + randomFraction)
        : std::chrono::duration<double, std::milli>(MaxFirstProbeDelay) * randomFraction;
    return std::chrono::duration_cast<Milliseconds>(delay);
}

} // namespace cranberry
