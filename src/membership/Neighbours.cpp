#include "membership/Neighbours.h"

#include <QCryptographicHash>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberry {

namespace {

constexpr qsizetype FirstFinger = 4;
constexpr qsizetype FingerRatio = 4;

/// All members, @p self first, in the order of the ring.
QList<VmId> ringFrom(const VmId &self, const QList<VmId> &others)
{
    std::vector<std::pair<QByteArray, VmId>> ranked;
    const QList<VmId> everyone = others + QList<VmId>{self};
    ranked.reserve(size_t(everyone.size()));
    for (const VmId &vm : everyone) {
        const QByteArray text = vm.text().toUtf8();
        ranked.emplace_back(QCryptographicHash::hash(text, QCryptographicHash::Sha1), vm);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto own = std::find_if(ranked.begin(), ranked.end(),
                                  [&](const auto &entry) { return entry.second == self; });
    std::rotate(ranked.begin(), own, ranked.end());
    QList<VmId> ring;
    for (const auto &entry : ranked)
        ring.append(entry.second);
    return ring;
}

} // namespace

Neighbours chooseNeighbours(const VmId &self, const QList<VmId> &others, int fullMesh)
{
    Neighbours result;
    const QList<VmId> ring = ringFrom(self, others);
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
    if (others.size() <= fullMesh) {
        for (qsizetype distance = 2; distance < size; ++distance)
            add(result.fingers, distance);
        return result;
    }
    for (qsizetype distance = FirstFinger; distance <= size / 2; distance *= FingerRatio) {
        add(result.fingers, distance);
        add(result.fingers, size - distance);
    }
    return result;
}

} // namespace cranberry
