#include "support/SpreadFleet.h"

#include "support/EventLoop.h"

#include <algorithm>

namespace cranberry::test {

SpreadDaemon::SpreadDaemon(const VmId &vm, std::shared_ptr<MemoryKeyValueTable> table,
                           std::shared_ptr<MemoryPeerTable> peerTable, TimerService &timers)
    : daemon(std::move(table), timers)
    , peers(vm, std::move(peerTable))
    , spread(daemon.store, daemon.platform, peers, members, timers)
{
    members.selfId = vm;
}

SpreadFleet::SpreadFleet(int daemons, int dataCentres, TimerService &timers)
{
    QList<Member> all;
    for (int i = 0; i < daemons; ++i) {
        Member member;
        member.vm = VmId(QStringLiteral("vm%1").arg(i));
        member.dataCentre = DataCentreId(QStringLiteral("dc%1").arg(i % dataCentres));
        all.append(member);
    }
    for (const Member &member : std::as_const(all)) {
        m_daemons.push_back(std::make_unique<SpreadDaemon>(member.vm, table, m_peers, timers));
        m_daemons.back()->members.all = all;
    }
}

int SpreadFleet::watching() const
{
    return int(std::count_if(m_daemons.begin(), m_daemons.end(),
                             [](const auto &one) { return one->spread.isWatching(); }));
}

bool SpreadFleet::start()
{
    for (const auto &one : m_daemons)
        one->spread.start();
    return waitFor([this] {
        return std::all_of(m_daemons.begin(), m_daemons.end(),
                           [](const auto &one) { return one->daemon.store.current() != nullptr; });
    });
}

void SpreadFleet::tellVersions()
{
    for (const auto &from : m_daemons) {
        for (const auto &to : m_daemons) {
            if (from != to && !from->peers.isCut && !to->peers.isCut)
                to->spread.onPeerVersion(from->members.selfId, from->daemon.store.version());
        }
    }
}

bool SpreadFleet::agree() const
{
    const ConfigurationStore &first = m_daemons.front()->daemon.store;
    return std::all_of(m_daemons.begin(), m_daemons.end(), [&first](const auto &one) {
        return one->daemon.store.version() == first.version()
            && one->daemon.store.document() == first.document();
    });
}

} // namespace cranberry::test
