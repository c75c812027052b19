// Defines PeerDatagrams, short messages between daemons that may be lost.
#pragma once

#include "base/Ids.h"

#include <QCborArray>

#include <array>
#include <functional>
#include <memory>

class QUdpSocket;

namespace cranberry {

class PeerDirectory;
struct HttpEndpoint;
struct Peer;

enum class DatagramKind {
    /// What a daemon has at some targets.
    Load,
    /// What changed in the platform's store.
    StoreChange,
    /// What is at the targets of a data centre.
    Summary,
    /// Requests that are suspected to crash targets, or held back.
    Quarantine,
    /// A target that leaves.
    Leaving,
    /// A copy of a generation from one engine to another that was ordered.
    Copy,
    /// A daemon that represents its data centre.
    Head,
    /// A message of another data centre that its head hands to the rest.
    PassedOn,
};
constexpr std::size_t DatagramKinds = 8;

/// @p kind is the number of a DatagramKind. Thread-safe.
bool isKind(qint64 kind);

/// A message is a CBOR array in one datagram. Nothing that must hold depends on one: links with
/// connections to hundreds of daemons would cost descriptors and probes for what is stale after
/// a second.
/// Thread safety: only from the thread of the event loop.
class PeerDatagrams
{
public:
    using Handler = std::function<void(const Peer &from, const QCborArray &body)>;

    /// Precondition: @p peers outlives the object.
    explicit PeerDatagrams(PeerDirectory &peers);
    ~PeerDatagrams();

    /// Takes datagrams at @p endpoint; false if it cannot.
    bool listenOn(const HttpEndpoint &endpoint);
    /// Every message carries the version of the configuration that @p version tells; @p newer is
    /// called when another daemon has a newer one.
    void compareVersions(std::function<qint64()> version,
                         std::function<void(const Peer &from, qint64 version)> newer);
    /// Precondition: set before listenOn().
    void onMessage(DatagramKind kind, Handler handler);
    /// Hands a message that came inside another one to its handler.
    void deliver(const Peer &from, DatagramKind kind, const QCborArray &body) const;
    void send(const QList<Peer> &receivers, DatagramKind kind, const QCborArray &body);

private:
    void received();

    PeerDirectory &m_peers;
    std::unique_ptr<QUdpSocket> m_socket;
    std::array<Handler, DatagramKinds> m_handlers;
    std::function<qint64()> m_version = [] { return 0; };
    std::function<void(const Peer &, qint64)> m_newer;
};

} // namespace cranberry
