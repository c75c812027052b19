#include "relay/RelayConfiguration.h"

#include "base/StableHash.h"

#include <algorithm>

namespace cranberry {

void sortRoutes(RelayConfiguration &configuration)
{
    for (QList<RelayRoute> &routes : configuration.routes) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const RelayRoute &a, const RelayRoute &b) {
                             return a.prefix.size() > b.prefix.size();
                         });
    }
}

qsizetype routeCount(const RelayConfiguration &configuration)
{
    qsizetype count = 0;
    for (const QList<RelayRoute> &routes : configuration.routes)
        count += routes.size();
    return count;
}

const RelayRoute *findRoute(const RelayConfiguration &configuration, const QByteArray &host,
                            const QByteArray &target)
{
    const auto found = configuration.routes.constFind(host);
    if (found == configuration.routes.cend())
        return nullptr;
    const QByteArray path = target.split('?').first();
    const auto route = std::find_if(found->cbegin(), found->cend(), [&path](const RelayRoute &r) {
        return path.startsWith(r.prefix);
    });
    return route == found->cend() ? nullptr : &*route;
}

ServiceId serviceFor(const RelayRoute &route, const RequestId &id)
{
    qint64 total = 0;
    for (const ServiceShare &share : route.services)
        total += std::max(share.weight, 0);
    if (total == 0)
        return route.services.isEmpty() ? ServiceId() : route.services.first().service;
    qint64 remaining = qint64(stableHash(id.text()) % quint64(total));
    for (const ServiceShare &share : route.services) {
        remaining -= std::max(share.weight, 0);
        if (remaining < 0)
            return share.service;
    }
    return route.services.last().service;
}

} // namespace cranberry
