#include "http/BoundedTcpServer.h"

#include "base/Error.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds TimeoutCheckInterval{1000};
/// Time for a rejected caller to read the error response before the connection is closed.
constexpr Milliseconds RejectionLinger{1000};
constexpr int ListenBacklog = 1024;

/// QHttpServer has no request to respond to when a connection is rejected, so the response is
/// serialized here.
QByteArray serializeRejection(const Error &error)
{
    const QByteArray body = problemJson(error);
    const ErrorAnswer &answer = errorAnswer(error.kind);
    QByteArray text = "HTTP/1.1 " + QByteArray::number(answer.httpStatus) + " Refused\r\n";
    text += "Content-Type: application/problem+json\r\nConnection: close\r\n";
    text += "Cranberry-Ran: no\r\n";
    if (const std::optional<int> seconds = retryAfter(error))
        text += "Retry-After: " + QByteArray::number(*seconds) + "\r\n";
    return text + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

} // namespace

BoundedTcpServer::BoundedTcpServer(TimerService &timers, HttpServerLimits limits, QObject *parent)
    : QTcpServer(parent)
    , m_timers(timers)
    , m_limits(limits)
    , m_timeoutTimer(timers.every(TimeoutCheckInterval, [this] { closeTimedOut(); }))
{
    setListenBacklogSize(ListenBacklog);
}

BoundedTcpServer::~BoundedTcpServer() = default;

void BoundedTcpServer::incomingConnection(qintptr descriptor)
{
    auto *socket = new QTcpSocket(this);
    if (!socket->setSocketDescriptor(descriptor)) {
        delete socket;
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const bool isFull = m_connections.size() >= m_limits.connections;
    Connection connection;
    connection.waitingSince = m_timers.now();
    m_connections.insert(socket, connection);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] { countBytes(socket); });
    connect(socket, &QObject::destroyed, this, [this, socket] { m_connections.remove(socket); });
    if (isFull) {
        connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        reject(socket, ErrorKind::QueueFull, QStringLiteral("too many open connections"));
        return;
    }
    addPendingConnection(socket);
}

void BoundedTcpServer::countBytes(QTcpSocket *socket)
{
    Connection &connection = m_connections[socket];
    if (connection.rejected) {
        socket->readAll();
        return;
    }
    if (connection.bytes == 0 && !connection.answering)
        connection.waitingSince = m_timers.now();
    connection.bytes += socket->bytesAvailable();
    if (connection.bytes <= m_limits.headers.value() + m_limits.body.value())
        return;
    socket->readAll();
    reject(socket, ErrorKind::BodyTooLarge,
           QStringLiteral("the request is larger than %1 bytes").arg(m_limits.body.value()));
}

void BoundedTcpServer::reject(QTcpSocket *socket, ErrorKind kind, const QString &detail)
{
    m_connections[socket].rejected = true;
    logEvent(LogLevel::Warning, EventId::ConnectionRefused,
             {{"kind", QLatin1String(errorAnswer(kind).name)}, {"detail", detail}});
    Error error;
    error.kind = kind;
    error.detail = detail;
    socket->write(serializeRejection(error));
    QTimer::singleShot(RejectionLinger, socket, [socket] { socket->disconnectFromHost(); });
}

void BoundedTcpServer::requestArrived(QTcpSocket *socket)
{
    Connection &connection = m_connections[socket];
    connection.bytes = 0;
    connection.answering = true;
}

void BoundedTcpServer::requestAnswered(QTcpSocket *socket)
{
    const auto found = m_connections.find(socket);
    if (found == m_connections.end())
        return;
    found->answering = false;
    found->waitingSince = m_timers.now();
}

bool BoundedTcpServer::isAnswering(QTcpSocket *socket) const
{
    return m_connections.value(socket).answering;
}

int BoundedTcpServer::receivingConnections() const
{
    return int(std::count_if(
        m_connections.cbegin(), m_connections.cend(), [](const Connection &connection) {
            return connection.bytes > 0 && !connection.answering && !connection.rejected;
        }));
}

qint64 BoundedTcpServer::unsentBytes() const
{
    qint64 bytes = 0;
    for (auto entry = m_connections.cbegin(); entry != m_connections.cend(); ++entry)
        bytes += entry.key()->bytesToWrite();
    return bytes;
}

void BoundedTcpServer::closeTimedOut()
{
    const MonotonicTime now = m_timers.now();
    QList<QPointer<QTcpSocket>> timedOut;
    for (auto entry = m_connections.cbegin(); entry != m_connections.cend(); ++entry) {
        const bool isReceiving = entry->bytes > 0;
        const Milliseconds limit = isReceiving ? m_limits.requestTimeout : m_limits.idleTimeout;
        if (!entry->answering && now - entry->waitingSince > limit)
            timedOut.append(entry.key());
    }
    for (const QPointer<QTcpSocket> &socket : timedOut) {
        if (socket)
            socket->abort();
    }
}

} // namespace cranberry
