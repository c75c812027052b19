#include "peer/PeerLink.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "peer/WebSocketSession.h"

#include <QTcpSocket>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cranberry {

namespace {

/// A peer whose VM has vanished neither acknowledges nor resets. Without this timeout the kernel
/// retransmits for a quarter of an hour, during which the link appears healthy.
void setUnacknowledgedTimeout(QTcpSocket &socket, Milliseconds limit)
{
    const unsigned milliseconds = unsigned(limit.count());
    setsockopt(int(socket.socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof milliseconds);
}

} // namespace

PeerLink::PeerLink(const Context &context, QTcpSocket *socket, VmId peer,
                   PeerLinkCallbacks callbacks)
    : m_context(context)
    , m_socket(socket)
    , m_isDialled(!peer.isEmpty())
    , m_peer(std::move(peer))
    , m_callbacks(std::move(callbacks))
    , m_ownNonce(makeProofNonce())
    , m_lastSend(context.timers.now())
{
    WebSocketCallbacks session;
    session.output = [this](const QByteArray &bytes) { writeSocket(bytes); };
    session.opened = [this] {
        if (!m_isDialled)
            m_session->send(m_ownNonce);
    };
    session.received = [this](const QByteArray &message) { onMessage(message); };
    session.ended = [this](const QString &fault) {
        end(fault.isEmpty() ? PeerLinkEndReason::Closed : PeerLinkEndReason::Invalid, fault);
    };
    m_session = std::make_unique<WebSocketSession>(
        m_isDialled ? WebSocketRole::Dialler : WebSocketRole::Listener,
        context.limits.maxHandshakeFrameSize, std::move(session));
    m_handshakeTimeout = context.timers.after(context.limits.handshakeTimeout, [this] {
        end(PeerLinkEndReason::Broken, QStringLiteral("handshake timed out"));
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { readSocket(); });
    QObject::connect(socket, &QTcpSocket::connected, socket, [this] { start(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                     [this, socket] { end(PeerLinkEndReason::Broken, socket->errorString()); });
    if (!m_isDialled)
        start();
}

PeerLink::~PeerLink()
{
    if (!m_socket)
        return;
    m_socket->disconnect();
    m_socket->abort();
    m_socket->deleteLater();
}

void PeerLink::start()
{
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    setUnacknowledgedTimeout(*m_socket, m_context.limits.unacknowledgedTimeout);
    m_session->start();
}

void PeerLink::readSocket()
{
    if (m_hasEnded)
        return;
    const QByteArray bytes = m_socket->readAll();
    m_context.traffic.bytesIn += bytes.size();
    ++m_context.traffic.chunksIn;
    if (!m_isAuthenticated) {
        m_handshakeBytes += bytes.size();
        if (!m_isDialled && m_handshakeBytes > m_context.limits.maxHandshakeBytes.value()) {
            end(PeerLinkEndReason::Invalid, QStringLiteral("too many bytes before authentication"));
            return;
        }
    }
    m_session->receive(bytes);
}

void PeerLink::writeSocket(const QByteArray &bytes)
{
    if (!m_socket)
        return;
    m_context.traffic.bytesOut += bytes.size();
    ++m_context.traffic.chunksOut;
    m_socket->write(bytes);
}

void PeerLink::onMessage(const QByteArray &message)
{
    if (m_hasEnded)
        return;
    if (m_isAuthenticated) {
        const std::optional<PeerFrame> frame = decodePeerFrame(message);
        if (!frame) {
            end(PeerLinkEndReason::Invalid, QStringLiteral("malformed frame"));
            return;
        }
        m_callbacks.received(*frame);
        return;
    }
    if (!m_isDialled)
        onDiallerProof(message);
    else if (!m_hasChallenge)
        onChallenge(message);
    else
        onListenerProof(message);
}

ProofSubject PeerLink::proofSubject() const
{
    if (m_isDialled)
        return {m_ownNonce, m_peerNonce, m_context.self, m_peer};
    return {m_peerNonce, m_ownNonce, m_peer, m_context.self};
}

void PeerLink::onChallenge(const QByteArray &nonce)
{
    if (nonce.size() != ProofNonceSize) {
        end(PeerLinkEndReason::Invalid, QStringLiteral("malformed challenge"));
        return;
    }
    m_hasChallenge = true;
    m_peerNonce = nonce;
    const QByteArray proof =
        computePeerProof(m_context.secret, ProofDirection::FromDialler, proofSubject());
    m_session->send(encodeDiallerProof({m_context.self, m_peer, m_ownNonce, proof}));
}

void PeerLink::onDiallerProof(const QByteArray &message)
{
    const std::optional<DiallerProof> diallerProof = decodeDiallerProof(message);
    if (!diallerProof) {
        end(PeerLinkEndReason::Invalid, QStringLiteral("malformed proof"));
        return;
    }
    m_peerNonce = diallerProof->nonce;
    m_peer = diallerProof->dialler;
    const QByteArray expected =
        computePeerProof(m_context.secret, ProofDirection::FromDialler, proofSubject());
    // A dialler with an outdated address intends to reach another VM. Its proof contains that VM's
    // name and therefore differs from the expected one, as it does with a wrong secret.
    if (!constantTimeEqual(diallerProof->proof, expected)) {
        const QString claimedName = m_peer.text();
        m_peer = VmId();
        end(PeerLinkEndReason::Rejected,
            QStringLiteral("invalid proof from a peer that claims to be ") + claimedName
                + QStringLiteral(" and addresses ") + diallerProof->listener.text());
        return;
    }
    m_session->send(
        computePeerProof(m_context.secret, ProofDirection::FromListener, proofSubject()));
    completeHandshake();
}

void PeerLink::onListenerProof(const QByteArray &proof)
{
    const QByteArray expected =
        computePeerProof(m_context.secret, ProofDirection::FromListener, proofSubject());
    if (!constantTimeEqual(proof, expected)) {
        end(PeerLinkEndReason::Rejected, QStringLiteral("invalid proof from the listener"));
        return;
    }
    completeHandshake();
}

void PeerLink::completeHandshake()
{
    m_isAuthenticated = true;
    m_handshakeTimeout.reset();
    m_session->setMaxMessageSize(m_context.limits.maxFrameSize);
    for (const QByteArray &frame : std::exchange(m_sendQueue, {}))
        m_session->send(frame);
    m_sendQueueBytes = 0;
    m_callbacks.authenticated();
}

bool PeerLink::send(const QByteArray &frame)
{
    if (m_hasEnded || !m_socket)
        return false;
    m_lastSend = m_context.timers.now();
    const qint64 queued = m_sendQueueBytes + m_socket->bytesToWrite() + frame.size();
    if (queued > m_context.limits.maxSendQueueBytes.value())
        return false;
    if (m_isAuthenticated)
        return m_session->send(frame);
    m_sendQueue.append(frame);
    m_sendQueueBytes += frame.size();
    return true;
}

void PeerLink::close()
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    if (m_isAuthenticated)
        m_session->close();
    if (m_socket)
        m_socket->flush();
}

void PeerLink::end(PeerLinkEndReason reason, const QString &detail)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_handshakeTimeout.reset();
    m_callbacks.ended(reason, detail);
}

} // namespace cranberry
