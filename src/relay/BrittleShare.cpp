#include "relay/BrittleShare.h"

#include <algorithm>

namespace cranberry {

int brittleShare(const QList<int> &slots, qsizetype index, int rank, int daemons)
{
    // The slots of this target have the numbers from first to end - 1; every daemons-th of all
    // belongs to the daemon.
    int first = 0;
    for (qsizetype target = 0; target < index; ++target)
        first += slots[target];
    const int end = first + slots[index];
    const auto ownBelow = [&](int number) {
        return number <= rank ? 0 : (number - rank - 1) / daemons + 1;
    };
    return ownBelow(end) - ownBelow(first);
}

BrittleEvidence newerEvidence(const BrittleEvidence &a, const BrittleEvidence &b)
{
    return a.asked > b.asked ? a : b;
}

} // namespace cranberry
