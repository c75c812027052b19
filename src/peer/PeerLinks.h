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

/// The websocket links between one daemon and the others.
/// A daemon sends on the links that it dialled and receives on those that others dialled, so there
/// is one link per direction. Two daemons that dial each other at the same time have no conflict
/// to resolve, and messages to a VM that was replaced under the same name do not continue on a
/// link to its predecessor.
/// Links are dialled at the first send and closed when idle. The secret authenticates peers;
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

    /// Starts listening and returns the port; port 0 selects a free one.
    /// Precondition: not listening. Error: BadRequest with the system's error message.
    Result<quint16> listenOn(const QHostAddress &address, quint16 port);

    /// Sets the address of @p vm. If it changes, the link to the old address is closed.
    void setAddress(const VmId &vm, const QHostAddress &address, quint16 port);
    /// Removes @p vm and closes the link to it.
    void removeAddress(const VmId &vm);

    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override;
    void subscribe(PeerMessageKind kind, Handler handler) override;

    /// Called when an authenticated link ends without a close frame, for example because the peer's
    /// process died, and when a dialled peer cannot be reached. One callback.
    void onLinkLost(LinkLostCallback callback);

    /// Traffic of all links since the start.
    const PeerTraffic &traffic() const { return m_traffic; }
    /// Number of authenticated links, outgoing and incoming.
    int authenticatedLinks() const;
    /// Number of incoming links that are not authenticated yet.
    int unauthenticatedIncomingLinks() const;

private:
    struct Peer {
        QHostAddress address;
        quint16 port = 0;
        std::unique_ptr<PeerLink> link;
        Milliseconds backoff{0};
        MonotonicTime nextDialAt;
    };

    void dial(const VmId &vm, Peer &peer);
    void accept();
    void dropOldestUnauthenticated();
    void onOutgoingEnded(const VmId &vm, PeerLinkEndReason reason, const QString &detail);
    void onIncomingEnded(PeerLink *link, PeerLinkEndReason reason, const QString &detail);
    void dispatch(const VmId &from, const PeerFrame &frame);
    void discard(std::unique_ptr<PeerLink> link);
    void closeIdleLinks();

    TimerService &m_timers;
    const PeerLinkLimits m_limits;
    PeerTraffic m_traffic;
    PeerLink::Context m_context;
    QTcpServer m_server;
    std::map<VmId, Peer> m_peers;
    std::vector<std::unique_ptr<PeerLink>> m_incoming;
    std::vector<std::unique_ptr<PeerLink>> m_discarded;
    QHash<int, Handler> m_handlers;
    LinkLostCallback m_linkLostCallback;
    std::unique_ptr<TimerSubscription> m_idleCheckTimer;
    std::unique_ptr<TimerSubscription> m_discardTimer;
};

} // namespace cranberry
