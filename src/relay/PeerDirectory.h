#pragma once

#include "relay/Peer.h"
#include "relay/StoreAnswer.h"

#include <QHash>
#include <QList>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class HttpClient;
class HttpExchange;
class TimerService;
class TimerSubscription;
struct HttpRequest;
struct HttpResponse;
struct RelayCounters;
struct StoreProtocol;

/// The other daemons of the fleet as listed in the platform's store. Each daemon keeps a key with a
/// lease in the store, so that the key of a daemon that is gone is removed without its help. All
/// daemons list these keys at intervals. A watch would cost one call per daemon for each daemon
/// that joins or leaves.
/// Thread safety: only from the thread of the event loop.
class PeerDirectory
{
public:
    /// Precondition: everything passed outlives the directory.
    PeerDirectory(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                  const StoreProtocol &protocol, RelayCounters &counters, Peer self);
    ~PeerDirectory();

    /// Sets the port at which other daemons reach this one. Precondition: called before start().
    void setPort(quint16 port) { m_self.endpoint.port = port; }
    /// @p isFirstStart: the whole fleet is starting, so that no daemon is listed yet.
    void start(bool isFirstStart);
    /// Sets the callback for daemons of the same data centre that were not known before.
    /// Precondition: called before start().
    void onLocalPeersJoined(std::function<void(const QList<Peer> &joined)> callback)
    {
        m_localPeersJoined = std::move(callback);
    }
    /// Marks this daemon as about to end; others represent its data centre from now on.
    void drain();
    /// Ends the lease of this daemon's key, as the daemon is about to end.
    void leave();
    const Peer &self() const { return m_self; }
    /// The other daemons, without those that have timed out.
    QList<Peer> peers() const;
    /// The other daemons of the same data centre, without those that have timed out.
    QList<Peer> localPeers() const;
    /// Whether the fleet is small enough for every daemon to report its placements to all others.
    bool isSmallFleet() const;
    /// The daemons to which this one reports its placements directly: all in a small fleet, else
    /// those of the same data centre.
    QList<Peer> directReceivers() const;
    /// Records that a message of @p peer arrived.
    void recordMessage(const Peer &peer);
    /// The number of daemons of the data centre that precede this one in the common order. Daemons
    /// that were not heard for some seconds do not count.
    int localRank() const { return rankAmong(localPeers()); }
    /// Null if the daemon is not known.
    const Peer *find(const VmId &vm) const;
    /// Whether @p peer precedes this daemon in the common order.
    bool precedesSelf(const Peer &peer) const;
    /// The number of recently heard daemons of @p peers that precede this one in the common order;
    /// all of them if this daemon is about to end.
    int rankAmong(const QList<Peer> &peers) const;
    /// Whether a message of @p peer arrived within the last few seconds and the peer is not about
    /// to end.
    bool isRecentlyHeard(const Peer &peer) const;
    /// Whether @p peer sends this daemon a message every few seconds: in a small fleet each does,
    /// in a large one those of the same data centre.
    bool sendsToSelf(const Peer &peer) const;
    /// The data centres of the other daemons except this daemon's own; sorted.
    QList<DataCentreId> otherDataCentres() const;
    /// Whether the store has listed the daemons at least once.
    bool hasListed() const { return m_hasListed; }
    /// The number of daemons that may be alive, including this one.
    int fleetSize() const;
    /// The number of daemons that may be alive, including this one and those that are silent, which
    /// may be cut off.
    int knownDaemons() const;
    /// The number of those that precede this one in the common order.
    int knownRank() const;

private:
    void call(const HttpRequest &request, std::function<void(const HttpResponse &)> callback);
    void announce();
    void handleLease(const HttpResponse &response);
    void scheduleAnnounce(bool isAnnounced);
    void requestList();
    void handleList(const StoreAnswer &answer);
    void handleListedPeer(Peer peer);
    void recordPeer(const Peer &peer);
    bool isGone(const Peer &peer) const;
    bool mayBeAlive(const Peer &peer) const;

    TimerService &m_timers;
    HttpClient &m_client;
    HttpEndpoint m_store;
    const StoreProtocol &m_protocol;
    RelayCounters &m_counters;
    Peer m_self;
    QHash<VmId, Peer> m_peers;
    std::optional<LeaseId> m_lease;
    Milliseconds m_retryInterval{1000};
    bool m_isLeaving = false;
    int m_listCount = 0;
    bool m_hasListed = false;
    MonotonicTime m_lastListed;
    std::function<void(const QList<Peer> &)> m_localPeersJoined;
    std::unique_ptr<HttpExchange> m_announcing;
    std::unique_ptr<HttpExchange> m_listing;
    std::unique_ptr<TimerSubscription> m_announceTimer;
    std::unique_ptr<TimerSubscription> m_listTimer;
};

} // namespace cranberry
