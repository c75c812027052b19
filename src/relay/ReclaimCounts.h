#pragma once

#include <QtGlobal>

namespace cranberry {

/// How often callers' requests and connections were ended for lack of room.
struct ReclaimCounts {
    /// For lack of memory.
    qint64 forMemory = 0;
    /// For new connections of callers.
    qint64 forCallers = 0;
    /// For new connections of other daemons.
    qint64 forPeers = 0;
};

inline bool operator==(const ReclaimCounts &left, const ReclaimCounts &right)
{
    return left.forMemory == right.forMemory && left.forCallers == right.forCallers
        && left.forPeers == right.forPeers;
}

} // namespace cranberry
