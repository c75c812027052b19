#include "configuration/SpreadTree.h"

#include <algorithm>

namespace cranberry {

QList<VmId> spreadChildren(const QList<VmId> &members, const VmId &root, const VmId &self,
                           int fanOut)
{
    QList<VmId> order = members;
    std::sort(order.begin(), order.end());
    const qsizetype rootAt = order.indexOf(root);
    const qsizetype selfAt = order.indexOf(self);
    if (rootAt < 0 || selfAt < 0)
        return {};
    const qsizetype count = order.size();
    // Places are counted from the root on; the children of place p are p * fanOut + 1 and on.
    const qsizetype place = (selfAt - rootAt + count) % count;
    QList<VmId> children;
    const qsizetype first = place * fanOut + 1;
    for (qsizetype child = first; child < std::min(first + fanOut, count); ++child)
        children.append(order.at((rootAt + child) % count));
    return children;
}

} // namespace cranberry
