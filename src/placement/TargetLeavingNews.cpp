#include "placement/TargetLeavingNews.h"

namespace cranberry {

namespace {

constexpr int TargetKey = 1;
constexpr int IncarnationKey = 2;

} // namespace

QCborMap toCbor(const TargetLeavingNews &news)
{
    return {{TargetKey, news.target.text()}, {IncarnationKey, news.incarnation.value()}};
}

std::optional<TargetLeavingNews> targetLeavingNewsFrom(const QCborMap &body)
{
    const QCborValue target = body.value(TargetKey);
    const QCborValue incarnation = body.value(IncarnationKey);
    if (!target.isString() || target.toString().isEmpty() || !incarnation.isInteger())
        return std::nullopt;
    return TargetLeavingNews{TargetId(target.toString()), Incarnation(incarnation.toInteger())};
}

} // namespace cranberry
