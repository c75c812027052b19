#include "http/HttpListener.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/ConnectionReplacement.h"
#include "http/TcpStream.h"

#include <QSocketNotifier>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberry {

namespace {

/// Interval at which the time limits of connections, which are in seconds, are checked.
constexpr Milliseconds TimeoutCheckInterval{250};
constexpr int ListenBacklog = 1024;
constexpr int MaxUnansweredLogged = 50;
/// Part of the connections that is closed at a time for new ones, so that they are not searched for
/// each new one.
constexpr int ReplacedFraction = 32;
/// Accepting is resumed after this time if no connection could be closed.
constexpr Milliseconds AcceptPause{100};

Error listenError(const HttpEndpoint &endpoint)
{
    Error error;
    error.kind = ErrorKind::BadRequest;
    error.detail = QStringLiteral("cannot listen on %1:%2: %3")
                       .arg(endpoint.address)
                       .arg(endpoint.port)
                       .arg(QString::fromLocal8Bit(std::strerror(errno)));
    return error;
}

} // namespace

HttpListener::HttpListener(TimerService &timers, Handler handler, RejectionFactory makeRejection)
    : m_timers(timers)
    , m_context{timers,    m_callerLimits, m_limits, std::move(handler), std::move(makeRejection),
                m_closing, &m_unlimited,   {}}
    , m_timeoutTimer(timers.every(TimeoutCheckInterval, [this] { closeDue(); }))
{
    m_context.ended = [this](CallerConnection *connection) { m_connections.remove(connection); };
}

HttpListener::~HttpListener()
{
    stopAccepting();
}

Result<quint16> HttpListener::listenOn(const HttpEndpoint &endpoint)
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const QByteArray text = endpoint.address.toLatin1();
    const bool isValid = ::inet_pton(AF_INET, text.constData(), &address.sin_addr) == 1;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    if (!isValid || m_descriptor < 0 || ::bind(m_descriptor, generic, size) != 0
        || ::listen(m_descriptor, ListenBacklog) != 0
        || ::getsockname(m_descriptor, generic, &size) != 0) {
        const Error error = listenError(endpoint);
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
        return error;
    }
    m_notifier = new QSocketNotifier(m_descriptor, QSocketNotifier::Read);
    QObject::connect(m_notifier, &QSocketNotifier::activated, m_notifier, [this] { accept(); });
    return ntohs(address.sin_port);
}

void HttpListener::accept()
{
    for (;;) {
        const int descriptor =
            ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            // Otherwise the notifier fires again at once.
            if ((errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
                && !replaceConnections())
                pauseAccepting();
            return;
        }
        auto connection =
            std::make_shared<CallerConnection>(m_context, TcpStream::adopt(descriptor));
        m_connections.insert(connection.get(), connection);
        connection->start();
        if (openConnections() > m_limits.connections && !replaceConnections()) {
            pauseAccepting();
            return;
        }
    }
}

bool HttpListener::replaceConnections()
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    std::vector<ConnectionStatus> statuses;
    for (const auto &connection : std::as_const(m_connections)) {
        connections.push_back(connection);
        statuses.push_back(connection->status());
    }
    const std::vector<std::size_t> replaced =
        chooseReplaced(statuses, connections.size() / ReplacedFraction + 1);
    const int before = openConnections();
    for (const std::size_t index : replaced)
        connections[index]->closeForRoom();
    // Those whose request waits to be read stay open.
    const int closed = before - openConnections();
    m_replaced += closed;
    return closed > 0;
}

void HttpListener::pauseAccepting()
{
    m_notifier->setEnabled(false);
    m_acceptTimer = m_timers.after(AcceptPause, [this] {
        m_acceptTimer.reset();
        if (m_notifier)
            m_notifier->setEnabled(true);
    });
}

void HttpListener::closeIdle()
{
    if (m_stage == ListenerStage::Serving)
        setStage(ListenerStage::Closing);
    else
        closeDue();
}

void HttpListener::end()
{
    if (m_descriptor >= 0)
        accept();
    stopAccepting();
    setStage(ListenerStage::Ending);
}

void HttpListener::setStage(ListenerStage stage)
{
    m_stage = stage;
    m_closing = true;
    closeDue();
}

void HttpListener::closeDue()
{
    m_context.memory->makeRoomFor(Bytes(0));
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->closeIfDue(m_stage);
}

void HttpListener::stopAccepting()
{
    if (m_descriptor < 0)
        return;
    m_acceptTimer.reset();
    m_notifier->setEnabled(false);
    m_notifier->deleteLater();
    m_notifier = nullptr;
    ::close(m_descriptor);
    m_descriptor = -1;
}

int HttpListener::busyConnections() const
{
    int busy = 0;
    for (const auto &connection : m_connections)
        busy += isConnectionBusy(connection->status(), m_stage) ? 1 : 0;
    return busy;
}

ConnectionCounts HttpListener::connectionCounts() const
{
    ConnectionCounts counts{};
    for (const auto &connection : m_connections)
        ++counts[std::size_t(connection->state())];
    return counts;
}

void HttpListener::logUnanswered() const
{
    int left = MaxUnansweredLogged;
    for (const auto &connection : m_connections) {
        if (--left < 0)
            break;
        connection->logIfUnanswered();
    }
}

} // namespace cranberry
