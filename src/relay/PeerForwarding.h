#pragma once

#include "base/Ids.h"
#include "relay/ForwardOutcome.h"
#include "relay/Peer.h"

#include <QHash>
#include <QSet>

#include <array>
#include <optional>

namespace cranberry {

class PeerDirectory;

/// The daemons to which this one forwards requests for services that it cannot reach, and the
/// requests that it takes from others.
/// Thread safety: only from the thread of the event loop.
class PeerForwarding
{
public:
    /// Precondition: @p peers outlives the object.
    explicit PeerForwarding(const PeerDirectory &peers)
        : m_peers(peers)
    {
    }

    /// A daemon that can be expected to reach @p service; none of @p excluded.
    std::optional<Peer> choosePeer(const ServiceId &service, const QSet<VmId> &excluded) const;
    bool hasPeer(const ServiceId &service, const QSet<VmId> &excluded) const;

    void begin(const VmId &peer) { ++m_outstanding[peer]; }
    void end(const VmId &peer, ForwardOutcome outcome);

    /// Whether @p from, a daemon that connects from @p address, is known and this daemon has room
    /// for one more request of others.
    bool isPeer(const VmId &from, const QByteArray &address) const;
    bool hasRoom() const;
    void taken();
    void refused() { ++m_refused; }
    void takenEnded() { --m_running; }

    /// Requests that this daemon forwarded, by what became of them.
    const std::array<qint64, ForwardOutcomeCount> &outcomes() const { return m_outcomes; }
    qint64 takenTotal() const { return m_taken; }
    qint64 refusedTotal() const { return m_refused; }
    int running() const { return m_running; }

private:
    QList<Peer> usablePeers(const ServiceId &service, const QSet<VmId> &excluded) const;

    const PeerDirectory &m_peers;
    QHash<VmId, int> m_outstanding;
    std::array<qint64, ForwardOutcomeCount> m_outcomes{};
    qint64 m_taken = 0;
    qint64 m_refused = 0;
    int m_running = 0;
};

} // namespace cranberry
