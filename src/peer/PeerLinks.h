// Defines PeerLinks, the websocket links of one daemon to the others.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "peer/PeerLink.h"
#include "peer/PeerLinkLimits.h"
#include "peer/PeerNetwork.h"
#include "peer/PeerTraffic.h"

#include <QHash>
#include <QHostAddress>
#include <QTcpServer>

#include <map>
#include <memory>
#include <vector>

namespace cranberry {

class TimerService;
class TimerSubscription;

/// A daemon sends on the links that it dialled and receives on those that others dialled: one
/// link each way. So two daemons that dial each other at once have nothing to settle, and a VM
/// replaced under its old name cannot be hidden behind a link to its predecessor.
/// Links are dialled at the first send and closed when idle. The secret keeps strangers out;
/// frames are neither encrypted nor signed, so the network between VMs has to be private.
/// Thread safety: as PeerNetwork states.
class PeerLinks final : public PeerNetwork
{
public:
    using LinkLostCallback = std::function<void(const VmId &vm)>;

    /// Precondition: @p self and @p secret are not empty; @p timers outlives the links.
    PeerLinks(TimerService &timers, VmId self, QByteArray secret,
              PeerLinkLimits limits = PeerLinkLimits());
    ~PeerLinks() override;

    /// Starts to listen; port 0 takes a free one. Returns the port.
    /// Precondition: not listening. Error: BadRequest with the system's reason.
    Result<quint16> listenOn(const QHostAddress &address, quint16 port);

    /// Where @p vm is; a changed address drops the link to the old one.
    void setAddress(const VmId &vm, const QHostAddress &address, quint16 port);
    /// Drops @p vm and its link.
    void removeAddress(const VmId &vm);

    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override;
    void subscribe(PeerMessageKind kind, Handler handler) override;

    /// Called when a proven link ends without a goodbye, as it does when the peer's process
    /// dies, and when a peer cannot be reached. One callback.
    void onLinkLost(LinkLostCallback callback);

    /// Bytes of all links since the start.
    const PeerTraffic &traffic() const { return m_traffic; }
    /// Links that are proven, both ways.
    int provenLinks() const;
    /// Incoming links that have not proved anything yet.
    int unprovenIncomingLinks() const;

private:
    struct Peer {
        QHostAddress address;
        quint16 port = 0;
        std::unique_ptr<PeerLink> link;
        Milliseconds backoff{0};
        MonotonicTime notBefore;
    };

    void dial(const VmId &vm, Peer &peer);
    void accept();
    void dropOldestUnproven();
    void outgoingEnded(const VmId &vm, PeerLinkEnd end, const QString &detail);
    void incomingEnded(PeerLink *link, PeerLinkEnd end, const QString &detail);
    void received(const VmId &from, const PeerFrame &frame);
    void discard(std::unique_ptr<PeerLink> link);
    void closeIdle();

    TimerService &m_timers;
    const PeerLinkLimits m_limits;
    PeerTraffic m_traffic;
    PeerLink::Owner m_owner;
    QTcpServer m_server;
    std::map<VmId, Peer> m_peers;
    std::vector<std::unique_ptr<PeerLink>> m_incoming;
    std::vector<std::unique_ptr<PeerLink>> m_discarded;
    QHash<int, Handler> m_handlers;
    LinkLostCallback m_linkLost;
    std::unique_ptr<TimerSubscription> m_sweep;
    std::unique_ptr<TimerSubscription> m_clearing;
};

} // namespace cranberry
