#include "admission/Urgency.h"

#include <algorithm>
#include <array>

namespace cranberry {

const char *returnKindName(ReturnKind kind)
{
    constexpr std::array<const char *, ReturnKindCount> Names{"as_told", "new", "early"};
    return Names[std::size_t(kind)];
}

int combinedPriority(std::optional<int> workspacePriority, int routePriority)
{
    const int route = std::clamp(routePriority, 0, MaxPriority);
    const int workspace = std::clamp(workspacePriority.value_or(route), 0, MaxPriority);
    return workspace * PriorityCount + route;
}

int urgencyLevel(int priority, int overuse)
{
    return std::clamp(priority, 0, PriorityCount * PriorityCount - 1) * LevelsPerPriority
        + std::clamp(overuse, 0, MaxOveruseLevel);
}

bool isMoreUrgent(const Urgency &a, const Urgency &b)
{
    if (a.level != b.level)
        return a.level < b.level;
    if (a.returns != b.returns)
        return a.returns < b.returns;
    return a.arrived < b.arrived;
}

} // namespace cranberry
