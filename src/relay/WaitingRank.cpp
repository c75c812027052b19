#include "relay/WaitingRank.h"

namespace cranberry {

bool isServedBefore(const WaitingRank &a, const WaitingRank &b)
{
    if (a.isOverdue != b.isOverdue)
        return b.isOverdue;
    if (a.isOverdue)
        return a.arrived < b.arrived;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    return a.expectedOutput < b.expectedOutput;
}

} // namespace cranberry
