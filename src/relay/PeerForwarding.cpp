#include "relay/PeerForwarding.h"

#include "relay/ForwardPeers.h"
#include "relay/PeerDirectory.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

/// Maximum number of requests of other daemons in progress. A daemon of the smallest VMs processes
/// some hundred a second, and each waits a second at most.
constexpr int MaxRunning = 200;

} // namespace

QList<Peer> PeerForwarding::usablePeers(const ServiceId &service, const QSet<VmId> &excluded) const
{
    QList<Peer> usable = m_peers.peers();
    usable.removeIf([&](const Peer &peer) {
        const bool isSilent = m_peers.sendsToSelf(peer) && !m_peers.isRecentlyHeard(peer);
        return isSilent || peer.isDraining || peer.unreachable.contains(service)
            || excluded.contains(peer.vm);
    });
    return usable;
}

bool PeerForwarding::hasPeer(const ServiceId &service, const QSet<VmId> &excluded) const
{
    return !usablePeers(service, excluded).isEmpty();
}

std::optional<Peer> PeerForwarding::choosePeer(const ServiceId &service,
                                               const QSet<VmId> &excluded) const
{
    const QList<Peer> usable = usablePeers(service, excluded);
    QList<ForwardCandidate> candidates;
    for (const Peer &peer : usable)
        candidates.append({peer.vm, peer.dataCentre == m_peers.self().dataCentre,
                           m_peers.isRecentlyHeard(peer), m_outstanding.value(peer.vm)});
    const std::optional<VmId> chosen = chooseForwardPeer(
        candidates, [](int bound) { return QRandomGenerator::global()->bounded(bound); });
    for (const Peer &peer : usable) {
        if (chosen == peer.vm)
            return peer;
    }
    return std::nullopt;
}

void PeerForwarding::end(const VmId &peer, ForwardOutcome outcome)
{
    ++m_outcomes[std::size_t(outcome)];
    if (--m_outstanding[peer] <= 0)
        m_outstanding.remove(peer);
}

bool PeerForwarding::isPeer(const VmId &from, const QByteArray &address) const
{
    const QList<Peer> peers = m_peers.peers();
    return std::any_of(peers.cbegin(), peers.cend(), [&](const Peer &peer) {
        return peer.vm == from && peer.endpoint.address.toLatin1() == address;
    });
}

bool PeerForwarding::hasRoom() const
{
    return m_running < MaxRunning;
}

void PeerForwarding::taken()
{
    ++m_taken;
    ++m_running;
}

} // namespace cranberry
