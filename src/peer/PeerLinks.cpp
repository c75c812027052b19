#include "peer/PeerLinks.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <QRandomGenerator>
#include <QTcpSocket>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds MaxIdleCheckInterval{5000};

/// A random delay between half of @p backoff and @p backoff, so that daemons that lost the same
/// peer do not all dial it again at the same time.
Milliseconds jittered(Milliseconds backoff)
{
    const qint64 half = backoff.count() / 2;
    return Milliseconds(half + qint64(QRandomGenerator::global()->bounded(double(half + 1))));
}

void logLinkEnd(const VmId &peer, PeerLinkEndReason reason, const QString &detail)
{
    if (reason != PeerLinkEndReason::Rejected && reason != PeerLinkEndReason::Invalid)
        return;
    const EventId event =
        reason == PeerLinkEndReason::Rejected ? EventId::PeerRejected : EventId::PeerFrameInvalid;
    logEvent(LogLevel::Warning, event, {{"peer", peer.text()}, {"detail", detail}});
}

} // namespace

PeerLinks::PeerLinks(TimerService &timers, VmId self, QByteArray secret, PeerLinkLimits limits)
    : m_timers(timers)
    , m_limits(limits)
    , m_context{timers, m_limits, m_traffic, std::move(self), std::move(secret)}
    , m_idleCheckTimer(timers.every(std::min(MaxIdleCheckInterval, limits.idleTimeout),
                                    [this] { closeIdleLinks(); }))
{
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

PeerLinks::~PeerLinks()
{
    for (auto &entry : m_peers) {
        if (entry.second.link)
            entry.second.link->close();
    }
    for (const std::unique_ptr<PeerLink> &link : m_incoming)
        link->close();
}

Result<quint16> PeerLinks::listenOn(const QHostAddress &address, quint16 port)
{
    if (!m_server.listen(address, port)) {
        Error error;
        error.kind = ErrorKind::BadRequest;
        error.detail = QStringLiteral("cannot listen on the peer port: ") + m_server.errorString();
        return error;
    }
    return m_server.serverPort();
}

void PeerLinks::setAddress(const VmId &vm, const QHostAddress &address, quint16 port)
{
    Peer &peer = m_peers[vm];
    if (peer.address == address && peer.port == port)
        return;
    peer.address = address;
    peer.port = port;
    peer.backoff = Milliseconds(0);
    peer.nextDialAt = MonotonicTime();
    discard(std::move(peer.link));
}

void PeerLinks::removeAddress(const VmId &vm)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return;
    discard(std::move(found->second.link));
    m_peers.erase(found);
}

bool PeerLinks::send(const VmId &vm, PeerMessageKind kind, const QCborMap &body)
{
    const QByteArray frame = encodePeerFrame({kind, body});
    auto found = m_peers.find(vm);
    if (found == m_peers.end() || frame.size() > m_limits.maxFrameSize.value())
        return false;
    if (!found->second.link) {
        if (m_timers.now() < found->second.nextDialAt)
            return false;
        dial(vm, found->second);
        // A connection error on this VM is reported before dial() returns, and its callback may
        // change m_peers.
        found = m_peers.find(vm);
        if (found == m_peers.end() || !found->second.link)
            return false;
    }
    return found->second.link->send(frame);
}

void PeerLinks::subscribe(PeerMessageKind kind, Handler handler)
{
    m_handlers[int(kind)] = std::move(handler);
}

void PeerLinks::onLinkLost(LinkLostCallback callback)
{
    m_linkLostCallback = std::move(callback);
}

void PeerLinks::dial(const VmId &vm, Peer &peer)
{
    auto *socket = new QTcpSocket;
    PeerLinkCallbacks callbacks;
    callbacks.authenticated = [this, vm] { m_peers[vm].backoff = Milliseconds(0); };
    // Peers send on the links that they dialled. A frame on a link that this side dialled is
    // accepted nevertheless, since its peer is authenticated.
    callbacks.received = [this, vm](const PeerFrame &frame) { dispatch(vm, frame); };
    callbacks.ended = [this, vm](PeerLinkEndReason reason, const QString &detail) {
        onOutgoingEnded(vm, reason, detail);
    };
    peer.link = std::make_unique<PeerLink>(m_context, socket, vm, std::move(callbacks));
    socket->connectToHost(peer.address, peer.port);
}

void PeerLinks::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        // The link owns its socket, so the server must not delete it.
        socket->setParent(nullptr);
        if (unauthenticatedIncomingLinks() >= m_limits.maxUnauthenticatedLinks)
            dropOldestUnauthenticated();
        auto handle = std::make_shared<PeerLink *>(nullptr);
        PeerLinkCallbacks callbacks;
        callbacks.authenticated = [] {};
        callbacks.received = [this, handle](const PeerFrame &frame) {
            dispatch((*handle)->peer(), frame);
        };
        callbacks.ended = [this, handle](PeerLinkEndReason reason, const QString &detail) {
            onIncomingEnded(*handle, reason, detail);
        };
        auto link = std::make_unique<PeerLink>(m_context, socket, VmId(), std::move(callbacks));
        *handle = link.get();
        m_incoming.push_back(std::move(link));
    }
}

void PeerLinks::dropOldestUnauthenticated()
{
    // Incoming links are in order of arrival. If the newest were refused instead, a client that
    // opens connections and stays silent would lock out every daemon.
    const auto oldest = std::find_if(m_incoming.begin(), m_incoming.end(),
                                     [](const auto &link) { return !link->isAuthenticated(); });
    if (oldest == m_incoming.end())
        return;
    discard(std::move(*oldest));
    m_incoming.erase(oldest);
}

void PeerLinks::onOutgoingEnded(const VmId &vm, PeerLinkEndReason reason, const QString &detail)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return;
    Peer &peer = found->second;
    logLinkEnd(vm, reason, detail);
    peer.backoff = std::clamp(2 * peer.backoff, m_limits.minBackoff, m_limits.maxBackoff);
    peer.nextDialAt = m_timers.now() + jittered(peer.backoff);
    discard(std::move(peer.link));
    if (reason != PeerLinkEndReason::Closed && m_linkLostCallback)
        m_linkLostCallback(vm);
}

void PeerLinks::onIncomingEnded(PeerLink *link, PeerLinkEndReason reason, const QString &detail)
{
    const VmId peer = link->peer();
    const bool wasAuthenticated = link->isAuthenticated();
    logLinkEnd(peer, reason, detail);
    const auto found = std::find_if(m_incoming.begin(), m_incoming.end(),
                                    [link](const auto &other) { return other.get() == link; });
    if (found != m_incoming.end()) {
        discard(std::move(*found));
        m_incoming.erase(found);
    }
    if (wasAuthenticated && reason == PeerLinkEndReason::Broken && m_linkLostCallback)
        m_linkLostCallback(peer);
}

void PeerLinks::dispatch(const VmId &from, const PeerFrame &frame)
{
    const auto handler = m_handlers.constFind(int(frame.kind));
    if (handler != m_handlers.cend())
        (*handler)(from, frame.body);
}

void PeerLinks::discard(std::unique_ptr<PeerLink> link)
{
    if (!link)
        return;
    // The caller may be a callback of this link, so it is destroyed from the event loop.
    link->close();
    m_discarded.push_back(std::move(link));
    if (!m_discardTimer) {
        m_discardTimer = m_timers.after(Milliseconds(0), [this] {
            m_discarded.clear();
            m_discardTimer.reset();
        });
    }
}

void PeerLinks::closeIdleLinks()
{
    const MonotonicTime oldest = m_timers.now() - m_limits.idleTimeout;
    for (auto &entry : m_peers) {
        std::unique_ptr<PeerLink> &link = entry.second.link;
        if (link && link->isAuthenticated() && link->lastSend() < oldest)
            discard(std::move(link));
    }
}

int PeerLinks::authenticatedLinks() const
{
    int count = 0;
    for (const auto &entry : m_peers)
        count += entry.second.link && entry.second.link->isAuthenticated();
    for (const std::unique_ptr<PeerLink> &link : m_incoming)
        count += link->isAuthenticated();
    return count;
}

int PeerLinks::unauthenticatedIncomingLinks() const
{
    return int(std::count_if(m_incoming.begin(), m_incoming.end(),
                             [](const auto &link) { return !link->isAuthenticated(); }));
}

} // namespace cranberry
