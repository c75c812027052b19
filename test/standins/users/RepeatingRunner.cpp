#include "standins/users/RepeatingRunner.h"

#include "standins/users/RawRunner.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>
#include <QTimer>

namespace cranberry::standin {

namespace {

const QByteArray IdHeader = "Cranberryquay-Request-Id";
const QByteArray Rejection = "HTTP/1.1 503 Service Unavailable\r\nCranberryquay-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n";

HttpRequest parse(const QByteArray &head, const QByteArray &body)
{
    HttpRequest request;
    const QList<QByteArray> line = head.left(head.indexOf("\r\n")).split(' ');
    request.method = line.value(0);
    request.path = line.value(1);
    for (const char *name :
         {"Cranberryquay-Request-Id", "Cranberryquay-Tenant", "Cranberryquay-Expect-Instance"}) {
        const QByteArray value = RawRunner::header(head, name);
        if (!value.isEmpty())
            request.headers.add(name, value);
    }
    request.body = body;
    return request;
}

} // namespace

RepeatingRunner::RepeatingRunner(QByteArray id)
    : m_id(std::move(id))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

HttpEndpoint RepeatingRunner::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

QByteArray RepeatingRunner::entry(const QByteArray &service, int slotCount) const
{
    const QJsonObject json{{"service", QString::fromLatin1(service)},
                           {"address", QStringLiteral("127.0.0.1:%1").arg(m_server.serverPort())},
                           {"zone", "hall"},
                           {"slots", slotCount},
                           {"state", "ready"}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

void RepeatingRunner::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
            m_due.remove(socket);
            socket->deleteLater();
        });
    }
}

void RepeatingRunner::read(QTcpSocket *socket)
{
    const QByteArray seen = socket->peek(1 << 20);
    const qsizetype head = seen.indexOf("\r\n\r\n");
    const qsizetype length = RawRunner::header(seen.left(head + 2), "Content-Length").toLongLong();
    if (head < 0 || seen.size() < head + 4 + length)
        return;
    socket->skip(head + 4);
    handle(socket, parse(seen.left(head + 2), socket->read(length)));
}

void RepeatingRunner::handle(QTcpSocket *socket, const HttpRequest &request)
{
    socket->write(m_due.take(socket));
    const QByteArray requestId = request.headers.value(IdHeader);
    if (requestId.isEmpty()) {
        ++m_calls;
        if (m_rejection)
            QTimer::singleShot(*m_rejection, socket, [socket] { socket->write(Rejection); });
        else
            m_due[socket] += Rejection;
        return;
    }
    m_ran.append(requestId);
    if (m_onRan)
        m_onRan(request);
    const QByteArray body = "answer to " + request.body;
    const QByteArray answer = "HTTP/1.1 200 OK\r\nCranberryquay-Response-Seal: s\r\n" + IdHeader
        + ": " + requestId + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
        + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    const AnswerTimes times = m_times ? m_times(request) : AnswerTimes();
    QTimer::singleShot(times.answer, socket,
                       [this, socket, answer, times] { answered(socket, answer, times); });
}

void RepeatingRunner::answered(QTcpSocket *socket, const QByteArray &answer,
                               const AnswerTimes &times)
{
    socket->write(answer);
    if (!times.isRepeated)
        return;
    ++m_repeats;
    if (times.repeat)
        QTimer::singleShot(*times.repeat, socket, [socket, answer] { socket->write(answer); });
    else
        m_due[socket] += answer;
}

} // namespace cranberry::standin
