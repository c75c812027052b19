#include "http/TcpStream.h"

#include "http/HttpEndpoint.h"

#include <QSocketNotifier>

#include <arpa/inet.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cranberry {

namespace {

constexpr qsizetype ReadBufferBytes = 64 * 1024;
/// Idle time before the first keep-alive probe, interval between probes and number of unanswered
/// probes until the connection is aborted: in total TcpStream::PeerTimeout.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

/// Time limit for a peer that has no room for more data. The system's limit does not distinguish a
/// live peer that does not read for some seconds from a dead one.
constexpr Milliseconds BlockedPeerTimeout{10000};

void setOption(int descriptor, int level, int option, int value)
{
    // Best effort: if the system rejects an option, a dead peer is only detected later.
    (void)::setsockopt(descriptor, level, option, &value, sizeof(value));
}

void setOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, int(TcpStream::PeerTimeout.count()));
}

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

std::unique_ptr<TcpStream> TcpStream::connectTo(const HttpEndpoint &endpoint)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::unique_ptr<TcpStream> stream(new TcpStream(descriptor, State::Connecting));
    if (descriptor < 0)
        return stream;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const QByteArray text = endpoint.address.toLatin1();
    const bool isValid = ::inet_pton(AF_INET, text.constData(), &address.sin_addr) == 1;
    const int result = isValid
        ? ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        : -1;
    if (result < 0 && (!isValid || errno != EINPROGRESS)) {
        stream->closeDescriptor(false);
        stream->scheduleNotConnected();
    }
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(int descriptor)
{
    return std::unique_ptr<TcpStream>(new TcpStream(descriptor, State::Connected));
}

TcpStream::TcpStream(int descriptor, State state)
    : m_descriptor(descriptor)
    , m_state(state)
    , m_destroyed(std::make_shared<bool>(false))
{
    m_writeNotifier = new QSocketNotifier(QSocketNotifier::Write);
    m_readNotifier = new QSocketNotifier(QSocketNotifier::Read);
    if (descriptor < 0) {
        scheduleNotConnected();
        return;
    }
    setOptions(descriptor);
    m_writeNotifier->setSocket(descriptor);
    QObject::connect(m_writeNotifier, &QSocketNotifier::activated, m_writeNotifier,
                     [this] { handleWritable(); });
    m_writeNotifier->setEnabled(state == State::Connecting);
    m_readNotifier->setSocket(descriptor);
    QObject::connect(m_readNotifier, &QSocketNotifier::activated, m_readNotifier,
                     [this] { handleReadable(); });
    m_readNotifier->setEnabled(state == State::Connected);
}

TcpStream::~TcpStream()
{
    *m_destroyed = true;
    closeDescriptor(!m_shutDownRequested || unsentBytes() > 0);
    for (QSocketNotifier *notifier : {m_readNotifier, m_writeNotifier}) {
        notifier->disconnect();
        notifier->deleteLater();
    }
}

void TcpStream::setCallbacks(TcpStreamCallbacks callbacks)
{
    m_callbacks = std::move(callbacks);
}

void TcpStream::write(const QByteArray &data)
{
    if (m_state == State::Ended || m_shutDownRequested)
        return;
    if (m_sentBytes == m_outgoing.size()) {
        m_outgoing.clear();
        m_sentBytes = 0;
    }
    m_outgoing += data;
    if (m_state == State::Connected && !m_writeNotifier->isEnabled())
        flush();
}

void TcpStream::shutDownSending()
{
    if (m_shutDownRequested)
        return;
    m_shutDownRequested = true;
    if (m_state == State::Connected && unsentBytes() == 0)
        ::shutdown(m_descriptor, SHUT_WR);
}

void TcpStream::setReadingEnabled(bool enabled)
{
    if (m_state == State::Connected)
        m_readNotifier->setEnabled(enabled || m_isBroken);
}

bool TcpStream::hasUnreadBytes() const
{
    char byte = 0;
    return m_state == State::Connected
        && ::recv(m_descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

QByteArray TcpStream::peerAddress() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (m_descriptor < 0
        || ::getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return {};
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return QByteArray(text) + ':' + QByteArray::number(ntohs(address.sin_port));
}

void TcpStream::handleWritable()
{
    if (m_state == State::Connecting) {
        int error = 0;
        socklen_t size = sizeof(error);
        (void)::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            end(TcpEnd::NotConnected);
            return;
        }
        m_state = State::Connected;
        m_writeNotifier->setEnabled(false);
        m_readNotifier->setEnabled(true);
        const std::shared_ptr<bool> destroyed = m_destroyed;
        // Copied, because the call may replace the callbacks or destroy the stream.
        const auto callback = m_callbacks.connected;
        if (callback)
            callback();
        if (*destroyed || m_state != State::Connected)
            return;
    }
    flush();
}

void TcpStream::flush()
{
    while (unsentBytes() > 0) {
        const ssize_t count = ::send(m_descriptor, m_outgoing.constData() + m_sentBytes,
                                     size_t(unsentBytes()), MSG_NOSIGNAL);
        if (count > 0) {
            m_sentBytes += count;
            continue;
        }
        // The read notifier also detects a broken connection and reports it outside this call,
        // even if reading was paused.
        const bool isBlocked = isTransient(errno);
        m_writeNotifier->setEnabled(isBlocked);
        m_isBroken = !isBlocked;
        if (m_isBroken)
            m_readNotifier->setEnabled(true);
        else if (m_sentBytes > m_outgoing.size() / 2)
            m_outgoing.remove(0, std::exchange(m_sentBytes, 0));
        setBlocked(isBlocked);
        return;
    }
    setBlocked(false);
    m_writeNotifier->setEnabled(false);
    m_outgoing.clear();
    m_sentBytes = 0;
    if (m_shutDownRequested)
        ::shutdown(m_descriptor, SHUT_WR);
    const auto callback = m_callbacks.flushed;
    if (callback)
        callback();
}

void TcpStream::setBlocked(bool isBlocked)
{
    if (std::exchange(m_isBlocked, isBlocked) == isBlocked)
        return;
    const Milliseconds timeout = isBlocked ? BlockedPeerTimeout : PeerTimeout;
    setOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, int(timeout.count()));
}

void TcpStream::handleReadable()
{
    QByteArray data(ReadBufferBytes, Qt::Uninitialized);
    const ssize_t count = ::recv(m_descriptor, data.data(), size_t(ReadBufferBytes), 0);
    if (count > 0) {
        data.truncate(count);
        data.squeeze();
        const auto callback = m_callbacks.received;
        if (callback)
            callback(data);
        return;
    }
    if (count < 0 && isTransient(errno))
        return;
    if (count < 0 || m_isBroken)
        end(TcpEnd::Reset);
    else
        end(hasUndeliveredBytes() ? TcpEnd::ClosedEarly : TcpEnd::Closed);
}

bool TcpStream::hasUndeliveredBytes() const
{
    int unacknowledged = 0;
    return unsentBytes() > 0
        || (::ioctl(m_descriptor, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0);
}

void TcpStream::end(TcpEnd end)
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    closeDescriptor(end != TcpEnd::Closed);
    const auto callback = std::move(m_callbacks.ended);
    if (callback)
        callback(end);
}

void TcpStream::scheduleNotConnected()
{
    // Queued, so that no callback runs inside the call that creates the stream. The notifier
    // outlives the stream until the event loop deletes it, and receives queued calls until then.
    QMetaObject::invokeMethod(
        m_writeNotifier,
        [this, destroyed = m_destroyed] {
            if (!*destroyed)
                end(TcpEnd::NotConnected);
        },
        Qt::QueuedConnection);
}

void TcpStream::closeDescriptor(bool reset)
{
    if (m_descriptor < 0)
        return;
    m_writeNotifier->setEnabled(false);
    m_readNotifier->setEnabled(false);
    if (reset) {
        // A reset notifies the peer at once; after an orderly close it would continue its work.
        const linger abortive{1, 0};
        (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    }
    ::close(m_descriptor);
    m_descriptor = -1;
}

} // namespace cranberry
