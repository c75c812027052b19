// Defines RawPeer, a websocket client that says to a daemon whatever a test wants.
#pragma once

#include "peer/PeerProof.h"
#include "peer/WebSocketSession.h"
#include "support/EventLoop.h"

#include <QHostAddress>
#include <QTcpSocket>

namespace cranberry::test {

/// Thread safety: only from the thread of the event loop.
class RawPeer
{
public:
    explicit RawPeer(quint16 port)
        : session(WebSocketRole::Dialler, Bytes(1 << 20), callbacks())
    {
        QObject::connect(&socket, &QTcpSocket::connected, &socket, [this] { session.start(); });
        QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                         [this] { session.receive(socket.readAll()); });
        socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    }

    bool waitForMessages(int count)
    {
        return waitFor([&] { return messages.size() >= count; });
    }
    bool waitForClose()
    {
        return waitFor([&] { return socket.state() == QTcpSocket::UnconnectedState; });
    }

    /// Precondition: the challenge has arrived.
    QByteArray proof(const QByteArray &secret, const VmId &self, const VmId &listener) const
    {
        const QByteArray nonce = makeProofNonce();
        const ProofSubject subject{nonce, messages.first(), self, listener};
        return encodeDiallerProof({self, listener, nonce,
                                   computePeerProof(secret, ProofDirection::FromDialler, subject)});
    }

    /// Goes through the whole handshake. False if the listener does not answer.
    bool prove(const QByteArray &secret, const VmId &self, const VmId &listener)
    {
        if (!waitForMessages(1))
            return false;
        session.send(proof(secret, self, listener));
        return waitForMessages(2);
    }

    QTcpSocket socket;
    /// The first is the challenge, the second the listener's proof.
    QList<QByteArray> messages;
    WebSocketSession session;

private:
    WebSocketCallbacks callbacks()
    {
        WebSocketCallbacks result;
        result.output = [this](const QByteArray &bytes) { socket.write(bytes); };
        result.opened = [] {};
        result.received = [this](const QByteArray &message) { messages.append(message); };
        result.ended = [](const QString &) {};
        return result;
    }
};

} // namespace cranberry::test
