#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace cranberry {

struct HttpEndpoint;

/// How a connection ended.
enum class TcpEnd {
    /// The connection was never established; no byte was sent.
    NotConnected,
    /// The peer closed its side of the connection in order and had received all that was written.
    Closed,
    /// The peer closed its side in order before it had received all that was written.
    ClosedEarly,
    /// The peer or the system aborted the connection; bytes may be missing.
    Reset,
};

/// Callbacks of a TcpStream. Every member may be empty.
struct TcpStreamCallbacks {
    std::function<void()> connected;
    std::function<void(const QByteArray &data)> received;
    /// Called once, as the last callback.
    std::function<void(TcpEnd end)> ended;
    /// Called when all bytes written so far were passed to the system.
    std::function<void()> flushed;
};

/// A TCP connection over a non-blocking socket on the Qt event loop. QTcpSocket reports a reset as
/// an orderly close, so that a truncated response without a length would look complete. TcpStream
/// reports the two differently. A peer that disappears without closing the connection is detected
/// within PeerTimeout, by keep-alive probes and by the timeout for unacknowledged data, and later
/// if it has no room for more data.
/// Thread safety: only from the thread of its event loop. A callback may destroy the stream.
class TcpStream
{
public:
    /// A peer that acknowledges nothing for this long is considered disconnected. Detects a link
    /// that drops all packets without a reset; a round trip between regions takes under 30 ms.
    static constexpr Milliseconds PeerTimeout{3000};

    /// Starts to connect to @p endpoint. A failure is reported through the callback ended.
    static std::unique_ptr<TcpStream> connectTo(const HttpEndpoint &endpoint);
    /// Takes ownership of the accepted socket @p descriptor.
    static std::unique_ptr<TcpStream> adopt(int descriptor);
    /// Closes the connection with a reset and drops unsent bytes; with an orderly close if
    /// shutDownSending() was called and all bytes were sent.
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// Replaces the callbacks.
    void setCallbacks(TcpStreamCallbacks callbacks);
    /// Sends @p data as soon as the socket accepts it; does nothing after shutDownSending() or
    /// after the end of the connection.
    void write(const QByteArray &data);
    /// Shuts down the sending side in order after all pending bytes are sent.
    void shutDownSending();
    /// Pauses or resumes reading. While reading is paused, TCP flow control stops the peer's
    /// sending. Does nothing unless connected.
    void setReadingEnabled(bool enabled);

    /// Whether the system has bytes from the peer that were not read.
    bool hasUnreadBytes() const;
    bool isConnected() const { return m_state == State::Connected; }
    /// Bytes written that are not yet passed to the system.
    qsizetype unsentBytes() const { return m_outgoing.size() - m_sentBytes; }
    /// Memory of the bytes written that are not yet passed to the system.
    qsizetype bufferedBytes() const { return m_outgoing.size(); }
    /// The peer's address and port; empty if there is no connection.
    QByteArray peerAddress() const;

private:
    enum class State {
        Connecting,
        Connected,
        Ended,
    };

    TcpStream(int descriptor, State state);
    void handleWritable();
    void handleReadable();
    void flush();
    /// Whether the peer's system has not acknowledged all bytes written.
    bool hasUndeliveredBytes() const;
    void end(TcpEnd end);
    /// Adapts the time limit for unacknowledged data when the peer begins or ceases to have no
    /// room.
    void setBlocked(bool isBlocked);
    void scheduleNotConnected();
    void closeDescriptor(bool reset);

    int m_descriptor;
    State m_state;
    bool m_shutDownRequested = false;
    bool m_isBlocked = false;
    /// Writing failed, which clears the socket's error: reading then looks like an orderly close.
    bool m_isBroken = false;
    QByteArray m_outgoing;
    qsizetype m_sentBytes = 0;
    TcpStreamCallbacks m_callbacks;
    QSocketNotifier *m_readNotifier = nullptr;
    QSocketNotifier *m_writeNotifier = nullptr;
    /// Set to true by the destructor, so that a method that invoked a callback returns without
    /// access to the destroyed object.
    std::shared_ptr<bool> m_destroyed;
};

} // namespace cranberry
