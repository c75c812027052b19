#include "relay/StalenessPlan.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Fractions of the bound. Several requests to peers may remain unanswered before the store is
/// read.
constexpr double AskPeersFraction = 0.45;
constexpr double MinReadFraction = 0.5;
constexpr double MaxReadFraction = 0.8;
constexpr double FreshFraction = 0.9;
/// A daemon that the store did not serve reads again after a fraction of the bound between these.
constexpr double MinRepeatedReadFraction = 0.15;
constexpr double MaxRepeatedReadFraction = 0.4;
/// Two waits, a watch delay and two heartbeats of the feed must take less than AskPeersFraction of
/// the bound.
constexpr double WatchWaitFraction = 0.125;
/// With a shorter wait the watch calls would follow each other without a pause.
constexpr Milliseconds MinWatchWait{100};

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
    if (view.hasOwnWatch || age < AskPeersFraction * bound)
        return StalenessStep::Wait;
    const double readAfter =
        MinReadFraction + (MaxReadFraction - MinReadFraction) * view.randomFraction;
    // If the store refused all daemons at the same time, none of them is fresher than the others.
    const double readAgainAfter = MinRepeatedReadFraction
        + (MaxRepeatedReadFraction - MinRepeatedReadFraction) * view.randomFraction;
    const bool mayRead =
        !view.isRejectedByStore || double(view.timeSinceRefusal.count()) >= readAgainAfter * bound;
    const bool readsStore = age >= readAfter * bound && mayRead;
    return readsStore ? StalenessStep::ReadStore : StalenessStep::AskPeer;
}

bool isWithinBound(const StalenessView &view)
{
    return double(view.age.count()) < FreshFraction * double(view.bound.count());
}

Milliseconds stalenessWatchWait(Milliseconds bound)
{
    return std::max(MinWatchWait,
                    std::chrono::duration_cast<Milliseconds>(WatchWaitFraction * bound));
}

} // namespace cranberry
