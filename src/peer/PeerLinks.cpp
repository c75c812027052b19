#include "peer/PeerLinks.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <QRandomGenerator>
#include <QTcpSocket>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds LongestSweepInterval{5000};

/// Half to all of @p backoff, so that daemons that lost one peer together do not all dial it
/// again in the same moment.
Milliseconds jittered(Milliseconds backoff)
{
    const qint64 half = backoff.count() / 2;
    return Milliseconds(half + qint64(QRandomGenerator::global()->bounded(double(half + 1))));
}

void logEnd(const VmId &peer, PeerLinkEnd end, const QString &detail)
{
    if (end != PeerLinkEnd::Rejected && end != PeerLinkEnd::Invalid)
        return;
    const EventId event =
        end == PeerLinkEnd::Rejected ? EventId::PeerRejected : EventId::PeerFrameInvalid;
    logEvent(LogLevel::Warning, event, {{"peer", peer.text()}, {"detail", detail}});
}

} // namespace

PeerLinks::PeerLinks(TimerService &timers, VmId self, QByteArray secret, PeerLinkLimits limits)
    : m_timers(timers)
    , m_limits(limits)
    , m_owner{timers, m_limits, m_traffic, std::move(self), std::move(secret)}
    , m_sweep(timers.every(std::min(LongestSweepInterval, limits.idle), [this] { closeIdle(); }))
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
        error.detail = QStringLiteral("peer port: ") + m_server.errorString();
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
    peer.notBefore = MonotonicTime();
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
    if (found == m_peers.end() || frame.size() > m_limits.frame.value())
        return false;
    if (!found->second.link) {
        if (m_timers.now() < found->second.notBefore)
            return false;
        dial(vm, found->second);
        // A refusal by this VM itself is reported before dial returns, and its callback may
        // change the table.
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
    m_linkLost = std::move(callback);
}

void PeerLinks::dial(const VmId &vm, Peer &peer)
{
    auto *socket = new QTcpSocket;
    PeerLinkCallbacks callbacks;
    callbacks.proven = [this, vm] { m_peers[vm].backoff = Milliseconds(0); };
    // Nothing is expected on a link that this side dialled; whoever proved the secret may
    // answer on it all the same.
    callbacks.received = [this, vm](const PeerFrame &frame) { received(vm, frame); };
    callbacks.ended = [this, vm](PeerLinkEnd end, const QString &detail) {
        outgoingEnded(vm, end, detail);
    };
    peer.link = std::make_unique<PeerLink>(m_owner, socket, vm, std::move(callbacks));
    socket->connectToHost(peer.address, peer.port);
}

void PeerLinks::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        // The link deletes its socket itself, whichever of server and link goes first.
        socket->setParent(nullptr);
        if (unprovenIncomingLinks() >= m_limits.unprovenLinks)
            dropOldestUnproven();
        auto handle = std::make_shared<PeerLink *>(nullptr);
        PeerLinkCallbacks callbacks;
        callbacks.proven = [] {};
        callbacks.received = [this, handle](const PeerFrame &frame) {
            received((*handle)->peer(), frame);
        };
        callbacks.ended = [this, handle](PeerLinkEnd end, const QString &detail) {
            incomingEnded(*handle, end, detail);
        };
        auto link = std::make_unique<PeerLink>(m_owner, socket, VmId(), std::move(callbacks));
        *handle = link.get();
        m_incoming.push_back(std::move(link));
    }
}

void PeerLinks::dropOldestUnproven()
{
    // Incoming links stand in the order of their arrival. Refusing the newest instead would let
    // a stranger who opens connections and says nothing keep every daemon out.
    const auto oldest = std::find_if(m_incoming.begin(), m_incoming.end(),
                                     [](const auto &link) { return !link->isProven(); });
    if (oldest == m_incoming.end())
        return;
    discard(std::move(*oldest));
    m_incoming.erase(oldest);
}

void PeerLinks::outgoingEnded(const VmId &vm, PeerLinkEnd end, const QString &detail)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return;
    Peer &peer = found->second;
    logEnd(vm, end, detail);
    peer.backoff = std::clamp(2 * peer.backoff, m_limits.backoffFirst, m_limits.backoffLast);
    peer.notBefore = m_timers.now() + jittered(peer.backoff);
    discard(std::move(peer.link));
    if (end != PeerLinkEnd::Goodbye && m_linkLost)
        m_linkLost(vm);
}

void PeerLinks::incomingEnded(PeerLink *link, PeerLinkEnd end, const QString &detail)
{
    const VmId peer = link->peer();
    const bool wasProven = link->isProven();
    logEnd(peer, end, detail);
    const auto found = std::find_if(m_incoming.begin(), m_incoming.end(),
                                    [link](const auto &other) { return other.get() == link; });
    if (found != m_incoming.end()) {
        discard(std::move(*found));
        m_incoming.erase(found);
    }
    if (wasProven && end == PeerLinkEnd::Broken && m_linkLost)
        m_linkLost(peer);
}

void PeerLinks::received(const VmId &from, const PeerFrame &frame)
{
    const auto handler = m_handlers.constFind(int(frame.kind));
    if (handler != m_handlers.cend())
        (*handler)(from, frame.body);
}

void PeerLinks::discard(std::unique_ptr<PeerLink> link)
{
    if (!link)
        return;
    // It may be calling us: it is destroyed from the event loop.
    link->close();
    m_discarded.push_back(std::move(link));
    if (!m_clearing) {
        m_clearing = m_timers.after(Milliseconds(0), [this] {
            m_discarded.clear();
            m_clearing.reset();
        });
    }
}

void PeerLinks::closeIdle()
{
    const MonotonicTime oldest = m_timers.now() - m_limits.idle;
    for (auto &entry : m_peers) {
        std::unique_ptr<PeerLink> &link = entry.second.link;
        if (link && link->isProven() && link->lastSend() < oldest)
            discard(std::move(link));
    }
}

int PeerLinks::provenLinks() const
{
    int count = 0;
    for (const auto &entry : m_peers)
        count += entry.second.link && entry.second.link->isProven();
    for (const std::unique_ptr<PeerLink> &link : m_incoming)
        count += link->isProven();
    return count;
}

int PeerLinks::unprovenIncomingLinks() const
{
    return int(std::count_if(m_incoming.begin(), m_incoming.end(),
                             [](const auto &link) { return !link->isProven(); }));
}

} // namespace cranberry
