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
    /// Passes bytes to be written to the socket.
    std::function<void(const QByteArray &bytes)> output;
    std::function<void()> opened;
    /// Passes one binary message.
    std::function<void(const QByteArray &message)> received;
    /// Called last, when the peer has closed the session (@p fault is empty) or violated the
    /// protocol.
    std::function<void(const QString &fault)> ended;
};

/// The websocket protocol of one connection, independent of its socket.
/// Wraps websocketpp without I/O: the caller transfers the bytes between session and socket, so it
/// works with any event loop.
/// Thread safety: only from one thread. Callbacks run inside member functions and must not destroy
/// the session.
class WebSocketSession
{
public:
    WebSocketSession(WebSocketRole role, Bytes maxMessageSize, WebSocketCallbacks callbacks);
    ~WebSocketSession();

    /// Starts the opening handshake. Precondition: called once.
    void start();
    /// Processes bytes read from the socket.
    void receive(const QByteArray &bytes);
    /// Sends one binary message. Returns false on failure. Precondition: opened was called.
    bool send(const QByteArray &message);
    /// Sends a close frame; the socket can be closed once the output is written.
    void close();
    void setMaxMessageSize(Bytes size);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cranberry
