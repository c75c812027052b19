// Defines what stands for the other daemons in PolicyTrace: members and a network with delay.
#pragma once

#include "membership/MemberView.h"
#include "peer/PeerNetwork.h"
#include "performance/VirtualTime.h"

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

class FixedMembers final : public MemberView
{
public:
    FixedMembers(VmId self, int count)
        : m_self(std::move(self))
    {
        for (int i = 0; i < count; ++i) {
            Member member;
            member.vm = VmId(QString::number(i));
            m_members.append(member);
        }
    }
    VmId self() const override { return m_self; }
    QList<Member> members() const override { return m_members; }
    QList<Member> liveMembers() const override { return m_members; }

private:
    VmId m_self;
    QList<Member> m_members;
};

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
