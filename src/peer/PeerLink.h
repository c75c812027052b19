// Defines PeerLink, one connection to another daemon and the proof on it.
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

enum class PeerLinkEnd {
    /// A side closed the link on purpose.
    Goodbye,
    /// The connection broke, could not be made, stalled, or timed out in the handshake.
    Broken,
    /// The peer does not know the secret, or is not the one meant.
    Rejected,
    /// The peer broke the protocol.
    Invalid,
};

struct PeerLinkCallbacks {
    /// Both sides have proved the secret; nothing was handed over before.
    std::function<void()> proven;
    std::function<void(const PeerFrame &frame)> received;
    /// Called once and last; the link may only be destroyed after it returned.
    std::function<void(PeerLinkEnd end, const QString &detail)> ended;
};

/// The listener sends a nonce, the dialler answers with its own and a proof over both, and only
/// then the listener proves itself too. Frames before that are small and of this handshake.
/// Thread safety: only from the thread of its socket; callbacks run in it.
class PeerLink
{
public:
    /// What all links of one daemon share; outlives them.
    struct Owner {
        TimerService &timers;
        const PeerLinkLimits &limits;
        PeerTraffic &traffic;
        VmId self;
        QByteArray secret;
    };

    /// Takes over @p socket: connected if this side listened, connecting if it dialled. @p peer
    /// is whom this side dialled, else empty.
    PeerLink(const Owner &owner, QTcpSocket *socket, VmId peer, PeerLinkCallbacks callbacks);
    ~PeerLink();

    /// Sends now or, before the proof, later. False if the bound on waiting bytes is reached.
    bool send(const QByteArray &frame);
    /// Ends the link on purpose, without a call of ended.
    void close();

    bool isProven() const { return m_proven; }
    bool isDialled() const { return m_dialled; }
    /// Whom the link leads to; empty before an incoming link is proven.
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
    ProofSubject subject() const;
    void becomeProven();
    void end(PeerLinkEnd end, const QString &detail);

    const Owner &m_owner;
    QPointer<QTcpSocket> m_socket;
    const bool m_dialled;
    VmId m_peer;
    PeerLinkCallbacks m_callbacks;
    std::unique_ptr<WebSocketSession> m_session;
    std::unique_ptr<TimerSubscription> m_handshakeTimeout;
    QByteArray m_ownNonce;
    QByteArray m_peerNonce;
    QList<QByteArray> m_waiting;
    qint64 m_waitingBytes = 0;
    qint64 m_bytesBeforeProof = 0;
    bool m_challenged = false;
    bool m_proven = false;
    bool m_ended = false;
    MonotonicTime m_lastSend;
};

} // namespace cranberry
