#include "relay/StalenessPlan.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Parts of the bound. Several questions to peers may get no answer before the store is read.
constexpr double AskPeersAfter = 0.45;
constexpr double FirstReadAfter = 0.5;
constexpr double LastReadAfter = 0.8;
constexpr double FreshFor = 0.9;
/// A daemon that the store did not serve reads again after a part of the bound between these.
constexpr double FirstReadAgainAfter = 0.15;
constexpr double LastReadAgainAfter = 0.4;
/// Two waits, a pace and two heartbeats of the feed are to be under AskPeersAfter.
constexpr double WatchWaitPart = 0.125;
/// Shorter waits would be calls without a pause.
constexpr Milliseconds ShortestWatchWait{100};

} // namespace

const char *textOf(StalenessStep step)
{
    switch (step) {
    case StalenessStep::Wait:
        return "wait";
    case StalenessStep::AskPeer:
        return "ask_peer";
    case StalenessStep::ReadStore:
        return "read_store";
    }
    return "";
}

StalenessStep stalenessStep(const StalenessView &view)
{
    const double age = double(view.age.count());
    const double bound = double(view.bound.count());
    if (view.hasOwnWatch || age < AskPeersAfter * bound)
        return StalenessStep::Wait;
    const double readAfter = FirstReadAfter + (LastReadAfter - FirstReadAfter) * view.draw;
    // If the store refused all daemons in one moment, none of them is fresher than the others.
    const double readAgainAfter =
        FirstReadAgainAfter + (LastReadAgainAfter - FirstReadAgainAfter) * view.draw;
    const bool mayRead =
        !view.isTurnedAway || double(view.sinceRefused.count()) >= readAgainAfter * bound;
    const bool readsStore = age >= readAfter * bound && mayRead;
    return readsStore ? StalenessStep::ReadStore : StalenessStep::AskPeer;
}

bool isWithinBound(const StalenessView &view)
{
    return double(view.age.count()) < FreshFor * double(view.bound.count());
}

Milliseconds stalenessWatchWait(Milliseconds bound)
{
    return std::max(ShortestWatchWait,
                    std::chrono::duration_cast<Milliseconds>(WatchWaitPart * bound));
}

} // namespace cranberry
