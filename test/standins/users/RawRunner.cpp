#include "standins/users/RawRunner.h"

#include <QTcpSocket>

#include <sys/socket.h>

namespace cranberry::standin {

namespace {

void reset(QTcpSocket *socket)
{
    socket->flush();
    const linger abortive{1, 0};
    (void)::setsockopt(int(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &abortive,
                       sizeof(abortive));
    socket->abort();
}

} // namespace

RawRunner::RawRunner(Answer answer)
    : m_answer(std::move(answer))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

HttpEndpoint RawRunner::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

QByteArray RawRunner::header(const QByteArray &request, const QByteArray &name)
{
    for (const QByteArray &line : request.split('\n')) {
        if (line.startsWith(name + ':'))
            return line.mid(name.size() + 1).trimmed();
    }
    return {};
}

void RawRunner::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
}

void RawRunner::read(QTcpSocket *socket)
{
    const QByteArray seen = socket->peek(1 << 20);
    const qsizetype head = seen.indexOf("\r\n\r\n");
    const qsizetype length = header(seen, "Content-Length").toLongLong();
    if (head < 0 || seen.size() < head + 4 + length)
        return;
    ++m_requests;
    const RawAnswer answer = m_answer(socket->read(head + 4 + length));
    socket->write(answer.bytes);
    if (answer.after == RawAnswer::After::Close)
        socket->disconnectFromHost();
    else if (answer.after == RawAnswer::After::Reset)
        reset(socket);
}

} // namespace cranberry::standin
