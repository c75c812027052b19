#include "standins/users/EarlyRunner.h"

#include "standins/users/RawRunner.h"

#include <QTcpSocket>
#include <QTimer>

#include <memory>
#include <sys/socket.h>

namespace cranberry::standin {

namespace {

constexpr qint64 HeadBytes = 4096;

void reset(QTcpSocket *socket)
{
    const linger abortive{1, 0};
    (void)::setsockopt(int(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &abortive,
                       sizeof(abortive));
    socket->abort();
}

} // namespace

EarlyRunner::EarlyRunner(Answer answer)
    : m_answer(std::move(answer))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

HttpEndpoint EarlyRunner::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

void EarlyRunner::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        // The system's buffers fill up while nothing is read.
        socket->setReadBufferSize(HeadBytes);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
}

void EarlyRunner::read(QTcpSocket *socket)
{
    const qsizetype headEnd = socket->peek(HeadBytes).indexOf("\r\n\r\n");
    if (headEnd < 0)
        return;
    const QByteArray head = socket->read(headEnd + 4);
    const EarlyAnswer answer = m_answer(head);
    socket->write(answer.bytes);
    socket->flush();
    finish(socket, answer.end, RawRunner::header(head, "Content-Length").toLongLong());
}

void EarlyRunner::finish(QTcpSocket *socket, EarlyAnswer::End end, qint64 bodyBytes)
{
    switch (end) {
    case EarlyAnswer::End::KeepOpen:
        break;
    case EarlyAnswer::End::HalfClose:
        socket->disconnect(socket, &QTcpSocket::readyRead, nullptr, nullptr);
        (void)::shutdown(int(socket->socketDescriptor()), SHUT_WR);
        break;
    case EarlyAnswer::End::Close:
        socket->abort();
        break;
    case EarlyAnswer::End::Reset:
        reset(socket);
        break;
    case EarlyAnswer::End::CloseAfterRequest: {
        socket->disconnect(socket, &QTcpSocket::readyRead, nullptr, nullptr);
        socket->setReadBufferSize(0);
        const auto skip = [socket, bodyBytes, read = std::make_shared<qint64>(0)] {
            *read += socket->readAll().size();
            if (*read == bodyBytes)
                socket->disconnectFromHost();
        };
        QObject::connect(socket, &QTcpSocket::readyRead, socket, skip);
        QTimer::singleShot(0, socket, skip);
        break;
    }
    }
}

} // namespace cranberry::standin
