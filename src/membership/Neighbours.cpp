#include "membership/Neighbours.h"

#include <QCryptographicHash>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberry {

namespace {

constexpr qsizetype FirstFingerDistance = 4;
constexpr qsizetype FingerDistanceRatio = 4;

/// All members in ring order, starting at @p self.
QList<VmId> orderRingFrom(const VmId &self, const QList<VmId> &others)
{
    std::vector<std::pair<QByteArray, VmId>> ranked;
    const QList<VmId> allMembers = others + QList<VmId>{self};
    ranked.reserve(size_t(allMembers.size()));
    for (const VmId &vm : allMembers) {
        const QByteArray text = vm.text().toUtf8();
        ranked.emplace_back(QCryptographicHash::hash(text, QCryptographicHash::Sha1), vm);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto ownEntry = std::find_if(ranked.begin(), ranked.end(),
                                       [&](const auto &entry) { return entry.second == self; });
    std::rotate(ranked.begin(), ownEntry, ranked.end());
    QList<VmId> ring;
    for (const auto &entry : ranked)
        ring.append(entry.second);
    return ring;
}

} // namespace

Neighbours chooseNeighbours(const VmId &self, const QList<VmId> &others, int fullMeshLimit)
{
    Neighbours result;
    const QList<VmId> ring = orderRingFrom(self, others);
    const qsizetype size = ring.size();
    const auto add = [&](QList<VmId> &list, qsizetype distance) {
        const VmId &vm = ring[distance];
        if (distance != 0 && !result.contains(vm))
            list.append(vm);
    };
    if (size > 1) {
        add(result.ring, 1);
        add(result.ring, size - 1);
    }
    if (others.size() <= fullMeshLimit) {
        for (qsizetype distance = 2; distance < size; ++distance)
            add(result.fingers, distance);
        return result;
    }
    for (qsizetype distance = FirstFingerDistance; distance <= size / 2;
         distance *= FingerDistanceRatio) {
        add(result.fingers, distance);
        add(result.fingers, size - distance);
    }
    return result;
}

} // namespace cranberry
