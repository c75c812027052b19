// Defines SpreadFleet, the configuration parts of several daemons that hear of each other.
#pragma once

#include "configuration/ConfigurationPropagator.h"
#include "membership/MemberView.h"
#include "support/ConfigurationDaemon.h"
#include "support/MemoryPeerNetwork.h"

#include <memory>
#include <vector>

namespace cranberry::test {

/// The view of one daemon; a test sets it.
struct FixedMembers final : MemberView {
    VmId selfId;
    QList<Member> all;

    VmId self() const override { return selfId; }
    QList<Member> members() const override { return all; }
    QList<Member> liveMembers() const override { return all; }
};

struct SpreadDaemon {
    SpreadDaemon(const VmId &vm, std::shared_ptr<MemoryKeyValueTable> table,
                 std::shared_ptr<MemoryPeerTable> peerTable, TimerService &timers);

    ConfigurationDaemon daemon;
    MemoryPeerNetwork peers;
    FixedMembers members;
    ConfigurationPropagator spread;
};

/// Daemons "vm0", "vm1", ... in turn in each of the data centres, all known to each other.
/// Thread safety: one thread, in which an event loop runs.
class SpreadFleet
{
public:
    SpreadFleet(int daemons, int dataCentres, TimerService &timers);

    SpreadDaemon &operator[](int index) { return *m_daemons[size_t(index)]; }
    int size() const { return int(m_daemons.size()); }
    int watching() const;

    /// Starts all and waits until each has a configuration.
    bool start();
    /// Every daemon tells every other its version, as heartbeats do.
    void tellVersions();
    /// True if all have the same version and document.
    bool agree() const;

    std::shared_ptr<MemoryKeyValueTable> table = std::make_shared<MemoryKeyValueTable>();

private:
    std::shared_ptr<MemoryPeerTable> m_peers = std::make_shared<MemoryPeerTable>();
    std::vector<std::unique_ptr<SpreadDaemon>> m_daemons;
};

} // namespace cranberry::test
