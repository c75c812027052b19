#include "http/TcpStream.h"

#include "http/HttpEndpoint.h"

#include <QSocketNotifier>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberry {

namespace {

constexpr qsizetype ReadSize = 64 * 1024;
/// Idle time before the first keep-alive probe, time between probes and unanswered probes:
/// together TcpStream::PeerTimeout.
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeEverySeconds = 1;
constexpr int ProbeCount = 2;

void setOption(int descriptor, int level, int option, int value)
{
    // Best effort: an option that the system refuses only makes a dead peer be found later.
    (void)::setsockopt(descriptor, level, option, &value, sizeof(value));
}

void setOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, ProbeEverySeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
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
        stream->endLater();
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
    m_writer = new QSocketNotifier(QSocketNotifier::Write);
    m_reader = new QSocketNotifier(QSocketNotifier::Read);
    if (descriptor < 0) {
        endLater();
        return;
    }
    setOptions(descriptor);
    m_writer->setSocket(descriptor);
    QObject::connect(m_writer, &QSocketNotifier::activated, m_writer, [this] { writable(); });
    m_writer->setEnabled(state == State::Connecting);
    m_reader->setSocket(descriptor);
    QObject::connect(m_reader, &QSocketNotifier::activated, m_reader, [this] { readable(); });
    m_reader->setEnabled(state == State::Connected);
}

TcpStream::~TcpStream()
{
    *m_destroyed = true;
    closeDescriptor(!m_finishing || unsentBytes() > 0);
    for (QSocketNotifier *notifier : {m_reader, m_writer}) {
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
    if (m_state == State::Ended || m_finishing)
        return;
    if (m_sent == m_outgoing.size()) {
        m_outgoing.clear();
        m_sent = 0;
    }
    m_outgoing += data;
    if (m_state == State::Connected && !m_writer->isEnabled())
        flush();
}

void TcpStream::finishSending()
{
    if (m_finishing)
        return;
    m_finishing = true;
    if (m_state == State::Connected && unsentBytes() == 0)
        ::shutdown(m_descriptor, SHUT_WR);
}

void TcpStream::setReading(bool reading)
{
    if (m_state == State::Connected)
        m_reader->setEnabled(reading);
}

QByteArray TcpStream::peerName() const
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

void TcpStream::writable()
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
        m_writer->setEnabled(false);
        m_reader->setEnabled(true);
        const std::shared_ptr<bool> destroyed = m_destroyed;
        // Copied, as the call may replace or destroy it.
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
        const ssize_t count = ::send(m_descriptor, m_outgoing.constData() + m_sent,
                                     size_t(unsentBytes()), MSG_NOSIGNAL);
        if (count > 0) {
            m_sent += count;
            continue;
        }
        // A broken connection shows at the reader as well, which reports it outside this call.
        m_writer->setEnabled(isTransient(errno));
        return;
    }
    m_writer->setEnabled(false);
    m_outgoing.clear();
    m_sent = 0;
    if (m_finishing)
        ::shutdown(m_descriptor, SHUT_WR);
    const auto callback = m_callbacks.flushed;
    if (callback)
        callback();
}

void TcpStream::readable()
{
    QByteArray data(ReadSize, Qt::Uninitialized);
    const ssize_t count = ::recv(m_descriptor, data.data(), size_t(ReadSize), 0);
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
    end(count == 0 ? TcpEnd::Closed : TcpEnd::Reset);
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

void TcpStream::endLater()
{
    // No callback runs inside the call that made the stream.
    QMetaObject::invokeMethod(
        m_writer, [this] { end(TcpEnd::NotConnected); }, Qt::QueuedConnection);
}

void TcpStream::closeDescriptor(bool reset)
{
    if (m_descriptor < 0)
        return;
    m_writer->setEnabled(false);
    m_reader->setEnabled(false);
    if (reset) {
        // A reset tells the peer at once; an orderly close would let it go on working.
        const linger abortive{1, 0};
        (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    }
    ::close(m_descriptor);
    m_descriptor = -1;
}

} // namespace cranberry
