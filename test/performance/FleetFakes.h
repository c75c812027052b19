// Defines what stands for the other daemons in PolicyTrace: members and a network with delay.
#pragma once

#include "peer/PeerNetwork.h"
#include "performance/VirtualTime.h"
#include "support/FixedMembers.h"

#include <gflags/gflags.h>

#include <map>

DECLARE_double(peer_ms);

namespace cranberry::bench {

inline MonotonicTime::duration fromMs(double ms)
{
    return std::chrono::duration_cast<MonotonicTime::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

inline double toMs(MonotonicTime::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A daemon that has @p count members, itself included, named by numbers.
inline test::FixedMembers numberedMembers(const VmId &self, int count)
{
    QList<VmId> vms;
    for (int i = 0; i < count; ++i)
        vms.append(VmId(QString::number(i)));
    return {self, vms};
}

/// Delivers each message after the same time.
class DelayedNetwork final : public PeerNetwork
{
public:
    using Peers = std::map<VmId, DelayedNetwork *>;

    DelayedNetwork(VirtualTime &time, VmId self, Peers &peers, double &messages)
        : m_time(time)
        , m_self(std::move(self))
        , m_peers(peers)
        , m_messages(messages)
    {
        m_peers[m_self] = this;
    }
    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override
    {
        m_messages += 1;
        DelayedNetwork *peer = m_peers[vm];
        m_time.at(m_time.now() + fromMs(FLAGS_peer_ms),
                  [peer, kind, body, from = m_self] { peer->m_handlers[kind](from, body); });
        return true;
    }
    void subscribe(PeerMessageKind kind, Handler handler) override
    {
        m_handlers[kind] = std::move(handler);
    }

private:
    VirtualTime &m_time;
    VmId m_self;
    Peers &m_peers;
    double &m_messages;
    std::map<PeerMessageKind, Handler> m_handlers;
};

} // namespace cranberry::bench
