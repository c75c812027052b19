#include "claims/GatherWindow.h"

#include <algorithm>

namespace cranberry {

Milliseconds nextGatherWindow(Milliseconds window, qsizetype batch, Milliseconds longest)
{
    constexpr Milliseconds Shortest{8};
    if (batch > 1)
        return std::min(longest, std::max(Shortest, window * 2));
    const Milliseconds halved = window / 2;
    return halved < Shortest ? Milliseconds(0) : halved;
}

} // namespace cranberry
