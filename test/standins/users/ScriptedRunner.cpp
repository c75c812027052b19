#include "standins/users/ScriptedRunner.h"

#include "standins/users/RawRunner.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>
#include <QTimer>

namespace cranberry::standin {

namespace {

const QByteArray IdHeader = "Cranberryquay-Request-Id";
const QByteArray KeepAlive = "Keep-Alive: timeout=10\r\n";

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

QByteArray AnswerText::bytes() const
{
    QByteArray text = "HTTP/1.1 " + QByteArray::number(status) + " Status\r\n";
    if (!requestId.isEmpty())
        text += IdHeader + ": " + requestId + "\r\n";
    if (isRejection)
        text += "Cranberryquay-Not-Executed: 1\r\n";
    if (isSealed)
        text += "Cranberryquay-Response-Seal: s\r\n";
    return text + moreHeaders + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
        + body;
}

ScriptedRunner::ScriptedRunner(QByteArray id)
    : m_id(std::move(id))
{
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

HttpEndpoint ScriptedRunner::endpoint() const
{
    return {QStringLiteral("127.0.0.1"), m_server.serverPort()};
}

QByteArray ScriptedRunner::entry(const QByteArray &service, int slotCount) const
{
    const QJsonObject json{{"service", QString::fromLatin1(service)},
                           {"address", QStringLiteral("127.0.0.1:%1").arg(m_server.serverPort())},
                           {"zone", "hall"},
                           {"slots", slotCount},
                           {"state", "ready"}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

QByteArray ScriptedRunner::idOf(const HttpRequest &request)
{
    return request.headers.value(IdHeader);
}

ScriptedAnswer ScriptedRunner::run(const HttpRequest &request)
{
    ScriptedAnswer answer;
    answer.isRun = true;
    answer.bytes =
        AnswerText{200, idOf(request), false, true, KeepAlive, "answer to " + request.body}.bytes();
    return answer;
}

void ScriptedRunner::accept()
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

void ScriptedRunner::read(QTcpSocket *socket)
{
    const QByteArray seen = socket->peek(1 << 20);
    const qsizetype head = seen.indexOf("\r\n\r\n");
    const qsizetype length = RawRunner::header(seen.left(head + 2), "Content-Length").toLongLong();
    if (head < 0 || seen.size() < head + 4 + length)
        return;
    socket->skip(head + 4);
    handle(socket, parse(seen.left(head + 2), socket->read(length)));
}

void ScriptedRunner::handle(QTcpSocket *socket, const HttpRequest &request)
{
    socket->write(m_due.take(socket));
    const ScriptedAnswer answer = m_script(request);
    if (answer.isRun) {
        m_ran.append(idOf(request));
        if (m_onRan)
            m_onRan(request);
    }
    if (answer.delay.count() == 0)
        send(socket, answer);
    else
        QTimer::singleShot(answer.delay, socket, [this, socket, answer] { send(socket, answer); });
}

void ScriptedRunner::send(QTcpSocket *socket, const ScriptedAnswer &answer)
{
    socket->write(answer.bytes);
    if (!answer.due.isEmpty())
        m_due[socket] += answer.due;
    if (!answer.late.isEmpty())
        QTimer::singleShot(answer.lateDelay, socket,
                           [socket, late = answer.late] { socket->write(late); });
}

} // namespace cranberry::standin
