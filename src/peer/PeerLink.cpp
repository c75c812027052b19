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

/// A peer whose VM vanished acknowledges nothing and sends no reset: without the limit the
/// kernel goes on resending for a quarter of an hour, and the link looks healthy.
void limitUnacknowledgedTime(QTcpSocket &socket, Milliseconds limit)
{
    const unsigned milliseconds = unsigned(limit.count());
    setsockopt(int(socket.socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof milliseconds);
}

} // namespace

PeerLink::PeerLink(const Owner &owner, QTcpSocket *socket, VmId peer, PeerLinkCallbacks callbacks)
    : m_owner(owner)
    , m_socket(socket)
    , m_dialled(!peer.isEmpty())
    , m_peer(std::move(peer))
    , m_callbacks(std::move(callbacks))
    , m_ownNonce(proofNonce())
    , m_lastSend(owner.timers.now())
{
    WebSocketCallbacks session;
    session.output = [this](const QByteArray &bytes) { writeSocket(bytes); };
    session.opened = [this] {
        if (!m_dialled)
            m_session->send(m_ownNonce);
    };
    session.received = [this](const QByteArray &message) { onMessage(message); };
    session.ended = [this](const QString &fault) {
        end(fault.isEmpty() ? PeerLinkEnd::Goodbye : PeerLinkEnd::Invalid, fault);
    };
    m_session = std::make_unique<WebSocketSession>(
        m_dialled ? WebSocketRole::Dialler : WebSocketRole::Listener, owner.limits.frameBeforeProof,
        std::move(session));
    m_handshakeTimeout = owner.timers.after(owner.limits.handshake, [this] {
        end(PeerLinkEnd::Broken, QStringLiteral("handshake timed out"));
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { readSocket(); });
    QObject::connect(socket, &QTcpSocket::connected, socket, [this] { start(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                     [this, socket] { end(PeerLinkEnd::Broken, socket->errorString()); });
    if (!m_dialled)
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
    limitUnacknowledgedTime(*m_socket, m_owner.limits.stall);
    m_session->start();
}

void PeerLink::readSocket()
{
    if (m_ended)
        return;
    const QByteArray bytes = m_socket->readAll();
    m_owner.traffic.bytesIn += bytes.size();
    ++m_owner.traffic.chunksIn;
    if (!m_proven) {
        m_bytesBeforeProof += bytes.size();
        if (!m_dialled && m_bytesBeforeProof > m_owner.limits.bytesBeforeProof.value()) {
            end(PeerLinkEnd::Invalid, QStringLiteral("too many bytes before the proof"));
            return;
        }
    }
    m_session->receive(bytes);
}

void PeerLink::writeSocket(const QByteArray &bytes)
{
    if (!m_socket)
        return;
    m_owner.traffic.bytesOut += bytes.size();
    ++m_owner.traffic.chunksOut;
    m_socket->write(bytes);
}

void PeerLink::onMessage(const QByteArray &message)
{
    if (m_ended)
        return;
    if (m_proven) {
        const std::optional<PeerFrame> frame = decodePeerFrame(message);
        if (!frame) {
            end(PeerLinkEnd::Invalid, QStringLiteral("malformed frame"));
            return;
        }
        m_callbacks.received(*frame);
        return;
    }
    if (!m_dialled)
        onDiallerProof(message);
    else if (!m_challenged)
        onChallenge(message);
    else
        onListenerProof(message);
}

ProofSubject PeerLink::subject() const
{
    if (m_dialled)
        return {m_ownNonce, m_peerNonce, m_owner.self, m_peer};
    return {m_peerNonce, m_ownNonce, m_peer, m_owner.self};
}

void PeerLink::onChallenge(const QByteArray &nonce)
{
    if (nonce.size() != ProofNonceSize) {
        end(PeerLinkEnd::Invalid, QStringLiteral("malformed challenge"));
        return;
    }
    m_challenged = true;
    m_peerNonce = nonce;
    const QByteArray proof = peerProof(m_owner.secret, ProofDirection::FromDialler, subject());
    m_session->send(encodeDiallerProof({m_owner.self, m_peer, m_ownNonce, proof}));
}

void PeerLink::onDiallerProof(const QByteArray &message)
{
    const std::optional<DiallerProof> shown = decodeDiallerProof(message);
    if (!shown) {
        end(PeerLinkEnd::Invalid, QStringLiteral("malformed proof"));
        return;
    }
    m_peerNonce = shown->nonce;
    m_peer = shown->dialler;
    const QByteArray expected = peerProof(m_owner.secret, ProofDirection::FromDialler, subject());
    // A dialler that means another VM has an outdated address: its proof names that VM, so it
    // differs from the expected one just as with a wrong secret.
    if (!equalProofs(shown->proof, expected)) {
        const QString claimed = m_peer.text();
        m_peer = VmId();
        end(PeerLinkEnd::Rejected,
            QStringLiteral("wrong proof from one that says it is ") + claimed
                + QStringLiteral(" and means ") + shown->listener.text());
        return;
    }
    m_session->send(peerProof(m_owner.secret, ProofDirection::FromListener, subject()));
    becomeProven();
}

void PeerLink::onListenerProof(const QByteArray &proof)
{
    const QByteArray expected = peerProof(m_owner.secret, ProofDirection::FromListener, subject());
    if (!equalProofs(proof, expected)) {
        end(PeerLinkEnd::Rejected, QStringLiteral("wrong proof of the listener"));
        return;
    }
    becomeProven();
}

void PeerLink::becomeProven()
{
    m_proven = true;
    m_handshakeTimeout.reset();
    m_session->setLargestMessage(m_owner.limits.frame);
    for (const QByteArray &frame : std::exchange(m_waiting, {}))
        m_session->send(frame);
    m_waitingBytes = 0;
    m_callbacks.proven();
}

bool PeerLink::send(const QByteArray &frame)
{
    if (m_ended || !m_socket)
        return false;
    m_lastSend = m_owner.timers.now();
    const qint64 queued = m_waitingBytes + m_socket->bytesToWrite() + frame.size();
    if (queued > m_owner.limits.sendQueue.value())
        return false;
    if (m_proven)
        return m_session->send(frame);
    m_waiting.append(frame);
    m_waitingBytes += frame.size();
    return true;
}

void PeerLink::close()
{
    if (m_ended)
        return;
    m_ended = true;
    if (m_proven)
        m_session->close();
    if (m_socket)
        m_socket->flush();
}

void PeerLink::end(PeerLinkEnd end, const QString &detail)
{
    if (m_ended)
        return;
    m_ended = true;
    m_handshakeTimeout.reset();
    m_callbacks.ended(end, detail);
}

} // namespace cranberry
