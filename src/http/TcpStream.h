// Defines TcpStream, one TCP connection on the Qt event loop.
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
    /// It never came about; no byte left.
    NotConnected,
    /// The peer closed its side in order.
    Closed,
    /// The peer or the system broke it off; bytes may be missing.
    Reset,
};

struct TcpStreamCallbacks {
    std::function<void()> connected;
    std::function<void(const QByteArray &data)> received;
    /// Called once; nothing follows.
    std::function<void(TcpEnd end)> ended;
    /// All bytes written so far were handed to the system.
    std::function<void()> flushed;
};

/// A connection over a non-blocking socket. QTcpSocket reports a reset as an orderly close, and
/// an answer without a length would then look whole although its end is missing; here the two
/// differ. A peer that vanished without a word is found by keep-alive probes and by the bound on
/// unacknowledged bytes, both within PeerTimeout.
/// Thread safety: only from the thread of its event loop. A callback may destroy the stream.
class TcpStream
{
public:
    /// A peer that acknowledges nothing for this long is taken for gone. Found on a link that
    /// went silent without a reset; a round trip between regions takes under 30 ms.
    static constexpr Milliseconds PeerTimeout{3000};

    /// Begins to connect to @p endpoint.
    static std::unique_ptr<TcpStream> connectTo(const HttpEndpoint &endpoint);
    /// Takes over the accepted socket @p descriptor.
    static std::unique_ptr<TcpStream> adopt(int descriptor);
    /// Closes the connection; unsent bytes are dropped and the peer sees a reset.
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// Replaces the callbacks.
    void setCallbacks(TcpStreamCallbacks callbacks);
    /// Sends @p data as soon as the connection takes it; does nothing once it has ended.
    void write(const QByteArray &data);
    /// Sends what is pending and closes the sending side; the peer sees an orderly end.
    void finishSending();
    /// Stops or goes on reading; a stopped reader holds the peer back.
    void setReading(bool reading);

    bool isConnected() const { return m_state == State::Connected; }
    /// Bytes written that the system has not taken yet.
    qsizetype unsentBytes() const { return m_outgoing.size() - m_sent; }
    /// The peer's address; empty before the connection came about.
    QByteArray peerName() const;

private:
    enum class State {
        Connecting,
        Connected,
        Ended,
    };

    TcpStream(int descriptor, State state);
    void writable();
    void readable();
    void flush();
    void end(TcpEnd end);
    void endLater();
    void closeDescriptor(bool reset);

    int m_descriptor;
    State m_state;
    bool m_finishing = false;
    QByteArray m_outgoing;
    qsizetype m_sent = 0;
    TcpStreamCallbacks m_callbacks;
    QSocketNotifier *m_reader = nullptr;
    QSocketNotifier *m_writer = nullptr;
    /// Set by the destructor, so that a method that called back knows to stop.
    std::shared_ptr<bool> m_destroyed;
};

} // namespace cranberry
