// Defines WebSocketSession, the websocket protocol of one connection without its socket.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QString>

#include <functional>
#include <memory>

namespace cranberry {

enum class WebSocketRole {
    Dialler,
    Listener,
};

struct WebSocketCallbacks {
    /// Bytes that are to be written to the socket.
    std::function<void(const QByteArray &bytes)> output;
    std::function<void()> opened;
    /// One binary message.
    std::function<void(const QByteArray &message)> received;
    /// The protocol is over: the peer said so (@p fault empty) or broke it. Nothing follows.
    std::function<void(const QString &fault)> ended;
};

/// websocketpp without I/O: bytes of any socket go in and out, so it runs on any event loop.
/// Thread safety: only from one thread; callbacks run inside calls and must not destroy the
/// session.
class WebSocketSession
{
public:
    WebSocketSession(WebSocketRole role, Bytes largestMessage, WebSocketCallbacks callbacks);
    ~WebSocketSession();

    /// Starts the opening handshake. Precondition: called once.
    void start();
    /// Takes bytes that came from the socket.
    void receive(const QByteArray &bytes);
    /// Sends one binary message. Precondition: opened was called. False if it could not.
    bool send(const QByteArray &message);
    /// Says goodbye; the socket can be closed once the output is written.
    void close();
    void setLargestMessage(Bytes size);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cranberry
