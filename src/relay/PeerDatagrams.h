#pragma once

#include "base/Ids.h"

#include <QCborArray>
#include <QList>

#include <array>
#include <functional>
#include <memory>

class QUdpSocket;

namespace cranberry {

class PeerDirectory;
struct HttpEndpoint;
struct Peer;

enum class DatagramKind {
    /// The load that a daemon has placed at some targets.
    Load,
    /// Changes of the platform's store.
    StoreChange,
    /// The load at the targets of a data centre.
    Summary,
    /// Sent by former versions.
    Quarantine,
    /// A target that is leaving.
    Leaving,
    /// A copy of a generation that was ordered from one engine to another.
    Copy,
    /// Daemons that are heads of their data centres.
    Head,
    /// A message from another data centre that a head forwards to its own.
    Forwarded,
    /// Rate limits of targets, and permits; see LimitMessages.
    Limit,
    /// Units of the retry budget; see RetryExchange.
    Retry,
    /// Requests that may crash targets; see CrashLedger.
    Crash,
    /// What waits for room at a daemon, and promises to callers; see DemandMessage.
    Demand,
};
constexpr std::size_t DatagramKindCount = 12;

/// Whether @p kind is the number of a DatagramKind. Thread-safe.
bool isDatagramKind(qint64 kind);

/// Exchanges short messages between daemons, which may be lost. A message is a CBOR array in one
/// datagram. No guarantee depends on its delivery: connections to hundreds of daemons would cost
/// file descriptors and probes, for data that is stale after a second.
/// Thread safety: only from the thread of the event loop.
class PeerDatagrams
{
public:
    using Handler = std::function<void(const Peer &from, const QCborArray &body)>;

    /// Precondition: @p peers outlives the object.
    explicit PeerDatagrams(PeerDirectory &peers);
    ~PeerDatagrams();

    /// Receives datagrams at @p endpoint. Returns false if it cannot.
    bool listenOn(const HttpEndpoint &endpoint);
    /// Adds the configuration version that @p version returns to every message, and calls @p newer
    /// when another daemon has a newer one.
    void setVersionCallbacks(std::function<qint64()> version,
                             std::function<void(const Peer &from, qint64 version)> newer);
    /// Adds the services that @p unreachable returns, which this daemon cannot reach, to every
    /// message, and calls @p reported when another daemon names one that it has not named before.
    void setUnreachableCallbacks(std::function<QList<ServiceId>()> unreachable,
                                 std::function<void(const Peer &from)> reported);
    /// Sets the handler of one kind of messages. Precondition: called before listenOn().
    void onMessage(DatagramKind kind, Handler handler);
    /// Passes a message that was contained in another one to its handler.
    void deliver(const Peer &from, DatagramKind kind, const QCborArray &body) const;
    void send(const QList<Peer> &receivers, DatagramKind kind, const QCborArray &body);

private:
    void readDatagrams();

    PeerDirectory &m_peers;
    std::unique_ptr<QUdpSocket> m_socket;
    std::array<Handler, DatagramKindCount> m_handlers;
    std::function<qint64()> m_version = [] { return 0; };
    std::function<void(const Peer &, qint64)> m_onNewerVersion;
    std::function<QList<ServiceId>()> m_unreachable = [] { return QList<ServiceId>(); };
    std::function<void(const Peer &)> m_onUnreachable = [](const Peer &) {};
};

} // namespace cranberry
