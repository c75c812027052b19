#include "membership/RendezvousHash.h"

#include <QCryptographicHash>
#include <QtEndian>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberry {

namespace {

quint64 rank(const QString &key, const VmId &member)
{
    QCryptographicHash hash(QCryptographicHash::Sha1);
    hash.addData(key.toUtf8());
    hash.addData(QByteArrayView("\0", 1));
    hash.addData(member.text().toUtf8());
    return qFromBigEndian<quint64>(hash.result().constData());
}

} // namespace

QList<VmId> rendezvousOrder(const QString &key, const QList<VmId> &members, int count)
{
    std::vector<std::pair<quint64, VmId>> ranked;
    ranked.reserve(size_t(members.size()));
    for (const VmId &member : members)
        ranked.emplace_back(rank(key, member), member);
    const size_t limit = std::min(ranked.size(), size_t(std::max(count, 0)));
    std::partial_sort(ranked.begin(), ranked.begin() + qsizetype(limit), ranked.end(),
                      [](const auto &a, const auto &b) { return b < a; });
    QList<VmId> order;
    for (size_t i = 0; i < limit; ++i)
        order.append(ranked[i].second);
    return order;
}

VmId rendezvousOwner(const QString &key, const QList<VmId> &members)
{
    const QList<VmId> order = rendezvousOrder(key, members, 1);
    return order.isEmpty() ? VmId() : order.first();
}

} // namespace cranberry
