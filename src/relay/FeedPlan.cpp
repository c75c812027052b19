#include "relay/FeedPlan.h"

namespace cranberry {

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

} // namespace cranberry
