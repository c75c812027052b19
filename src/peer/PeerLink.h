#pragma once

#include "base/Ids.h"
#include "peer/PeerFrame.h"
#include "peer/PeerLinkLimits.h"
#include "peer/PeerProof.h"
#include "peer/PeerTraffic.h"

#include <QPointer>
#include <QString>

#include <functional>
#include <memory>

class QTcpSocket;

namespace cranberry {

class TimerService;
class TimerSubscription;
class WebSocketSession;

/// Why a link ended.
enum class PeerLinkEndReason {
    /// One side closed the link intentionally.
    Closed,
    /// The connection failed, could not be established, stalled, or timed out in the handshake.
    Broken,
    /// The peer does not know the secret or is not the intended VM.
    Rejected,
    /// The peer violated the protocol.
    Invalid,
};

struct PeerLinkCallbacks {
    /// Both sides are authenticated; no frame is passed to received before.
    std::function<void()> authenticated;
    std::function<void(const PeerFrame &frame)> received;
    /// Called once, as the last callback; the link may only be destroyed after it has returned.
    std::function<void(PeerLinkEndReason reason, const QString &detail)> ended;
};

/// One authenticated connection to another daemon.
/// Mutual challenge-response: the listener sends a nonce, the dialler answers with its own nonce
/// and a proof over both, and then the listener sends its proof. Until then only frames of this
/// handshake are accepted, up to PeerLinkLimits::maxHandshakeFrameSize.
/// Thread safety: only from the thread of its socket; callbacks run in it.
class PeerLink
{
public:
    /// Shared by all links of one daemon; outlives them.
    struct Context {
        TimerService &timers;
        const PeerLinkLimits &limits;
        PeerTraffic &traffic;
        VmId self;
        QByteArray secret;
    };

    /// Takes ownership of @p socket, which is connected if this side listened and connecting if it
    /// dialled. @p peer is the VM that this side dialled, or empty if it listened.
    PeerLink(const Context &context, QTcpSocket *socket, VmId peer, PeerLinkCallbacks callbacks);
    ~PeerLink();

    /// Sends @p frame, or queues it until the link is authenticated. Returns false if the link has
    /// ended or PeerLinkLimits::maxSendQueueBytes would be exceeded.
    bool send(const QByteArray &frame);
    /// Closes the link without calling PeerLinkCallbacks::ended.
    void close();

    bool isAuthenticated() const { return m_isAuthenticated; }
    bool isDialled() const { return m_isDialled; }
    /// The VM at the other end; empty before an incoming link is authenticated.
    const VmId &peer() const { return m_peer; }
    MonotonicTime lastSend() const { return m_lastSend; }

private:
    void start();
    void readSocket();
    void writeSocket(const QByteArray &bytes);
    void onMessage(const QByteArray &message);
    void onChallenge(const QByteArray &nonce);
    void onDiallerProof(const QByteArray &message);
    void onListenerProof(const QByteArray &proof);
    ProofSubject proofSubject() const;
    void completeHandshake();
    void end(PeerLinkEndReason reason, const QString &detail);

    const Context &m_context;
    QPointer<QTcpSocket> m_socket;
    const bool m_isDialled;
    VmId m_peer;
    PeerLinkCallbacks m_callbacks;
    std::unique_ptr<WebSocketSession> m_session;
    std::unique_ptr<TimerSubscription> m_handshakeTimeout;
    QByteArray m_ownNonce;
    QByteArray m_peerNonce;
    QList<QByteArray> m_sendQueue;
    qint64 m_sendQueueBytes = 0;
    qint64 m_handshakeBytes = 0;
    bool m_hasChallenge = false;
    bool m_isAuthenticated = false;
    bool m_hasEnded = false;
    MonotonicTime m_lastSend;
};

} // namespace cranberry
