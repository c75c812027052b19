#include "configuration/BroadcastTree.h"

#include <algorithm>

namespace cranberry {

QList<VmId> broadcastChildren(const QList<VmId> &members, const VmId &root, const VmId &self,
                              int fanOut)
{
    QList<VmId> sortedMembers = members;
    std::sort(sortedMembers.begin(), sortedMembers.end());
    const qsizetype rootIndex = sortedMembers.indexOf(root);
    const qsizetype selfIndex = sortedMembers.indexOf(self);
    if (rootIndex < 0 || selfIndex < 0)
        return {};
    const qsizetype count = sortedMembers.size();
    // Positions count from the root, in the order of ids. The children of position p are at
    // p * fanOut + 1 to p * fanOut + fanOut.
    const qsizetype position = (selfIndex - rootIndex + count) % count;
    QList<VmId> children;
    const qsizetype first = position * fanOut + 1;
    for (qsizetype child = first; child < std::min(first + fanOut, count); ++child)
        children.append(sortedMembers.at((rootIndex + child) % count));
    return children;
}

} // namespace cranberry
