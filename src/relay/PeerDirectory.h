// Defines PeerDirectory, the other daemons of the fleet as the platform's store lists them.
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

/// Each daemon keeps a key with a lease in the store, so that one that is gone disappears by
/// itself; all list these keys now and then. A watch would cost a call for each daemon and each
/// one that comes or goes.
/// Thread safety: only from the thread of the event loop.
class PeerDirectory
{
public:
    /// Precondition: everything passed outlives the directory.
    PeerDirectory(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                  const StoreProtocol &protocol, RelayCounters &counters, Peer self);
    ~PeerDirectory();

    /// Precondition: before start(). @p port is where this daemon is reached by others.
    void setPort(quint16 port) { m_self.endpoint.port = port; }
    /// @p isFirstStart: the whole fleet starts, so that nobody is listed yet.
    void start(bool isFirstStart);
    /// Called with daemons of the data centre that were not known before.
    /// Precondition: before start().
    void onJoinedNearby(std::function<void(const QList<Peer> &joined)> callback)
    {
        m_joinedNearby = std::move(callback);
    }
    /// This daemon is about to end; others represent its data centre from now on.
    void drain();
    /// Gives the own key up, as this daemon is about to end.
    void leave();
    const Peer &self() const { return m_self; }
    /// The others, without those not seen for long.
    QList<Peer> peers() const;
    /// Those of the same data centre.
    QList<Peer> peersNearby() const;
    /// Every daemon tells all others at once what it places: there are few enough of them.
    bool isSmallFleet() const;
    /// Those whom this daemon tells what it places: all in a small fleet, else those nearby.
    QList<Peer> audience() const;
    /// A message of @p peer came.
    void heard(const Peer &peer);
    /// How many daemons of the data centre go before this one in an order that all agree on;
    /// those not heard for some seconds do not count.
    int rankNearby() const { return rankAmong(peersNearby()); }
    /// @p peer comes before this daemon in that order.
    bool isBefore(const Peer &peer) const;
    /// How many of @p peers that are heard of come before this daemon in an order that all share;
    /// all of them if this daemon is about to end.
    int rankAmong(const QList<Peer> &peers) const;
    /// A message of @p peer came within the last few seconds.
    bool isHeard(const Peer &peer) const;
    /// Data centres of other daemons, without the own one; sorted.
    QList<DataCentreId> otherDataCentres() const;
    /// The store has listed the daemons at least once.
    bool hasListed() const { return m_hasListed; }
    /// Daemons that may live, this one included.
    int fleetSize() const;

private:
    void call(const HttpRequest &request, std::function<void(const HttpResponse &)> callback);
    void announce();
    void granted(const HttpResponse &response);
    void announceAgain(bool isAnnounced);
    void list();
    void listed(const StoreAnswer &answer);
    void listed(Peer peer);
    void seen(const Peer &peer);
    bool isGone(const Peer &peer) const;

    TimerService &m_timers;
    HttpClient &m_client;
    HttpEndpoint m_store;
    const StoreProtocol &m_protocol;
    RelayCounters &m_counters;
    Peer m_self;
    QHash<VmId, Peer> m_peers;
    std::optional<LeaseId> m_lease;
    Milliseconds m_retry{1000};
    bool m_leaving = false;
    int m_lists = 0;
    bool m_hasListed = false;
    std::function<void(const QList<Peer> &)> m_joinedNearby;
    std::unique_ptr<HttpExchange> m_announcing;
    std::unique_ptr<HttpExchange> m_listing;
    std::unique_ptr<TimerSubscription> m_announceTimer;
    std::unique_ptr<TimerSubscription> m_listTimer;
};

} // namespace cranberry
