#include "standins/users/RawRunner.h"

#include <QTcpSocket>
#include <QTimer>

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
    m_endpoint = {QStringLiteral("127.0.0.1"), m_server.serverPort()};
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

void RawRunner::restart()
{
    if (!m_server.isListening())
        m_server.listen(QHostAddress::LocalHost, m_endpoint.port);
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
    send(socket, m_answer(socket->read(head + 4 + length)));
}

void RawRunner::send(QTcpSocket *socket, const RawAnswer &answer)
{
    const qsizetype piece = answer.pieceBytes == 0 ? answer.bytes.size() : answer.pieceBytes;
    socket->write(answer.bytes.left(piece));
    if (answer.bytes.size() <= piece) {
        finish(socket, answer.after);
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    RawAnswer rest = answer;
    rest.bytes.remove(0, piece);
    QTimer::singleShot(0, socket, [this, socket, rest] { send(socket, rest); });
}

void RawRunner::finish(QTcpSocket *socket, RawAnswer::After after)
{
    switch (after) {
    case RawAnswer::After::KeepOpen:
        break;
    case RawAnswer::After::Exit:
        m_server.close();
        [[fallthrough]];
    case RawAnswer::After::Close:
        socket->disconnectFromHost();
        break;
    case RawAnswer::After::Reset:
        reset(socket);
        break;
    }
}

} // namespace cranberry::standin
