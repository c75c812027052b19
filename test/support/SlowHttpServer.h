// Defines SlowHttpServer, an HTTP server that sends response bodies at a limited rate.
#pragma once

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <functional>

namespace cranberry::test {

/// Simulates a server behind a slow link.
/// Thread safety: only from the thread of the event loop.
class SlowHttpServer
{
public:
    /// Returns the response body for a path; if it is empty, no response is sent.
    using Handler = std::function<QByteArray(const QByteArray &path)>;

    /// Listens on a free port of the loopback interface and sends @p partBytes of each body per
    /// @p interval.
    SlowHttpServer(Handler handler, qsizetype partBytes, std::chrono::milliseconds interval)
        : m_handler(std::move(handler))
        , m_partBytes(partBytes)
        , m_interval(interval)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
        m_server.listen(QHostAddress(QHostAddress::LocalHost), 0);
    }

    quint16 port() const { return m_server.serverPort(); }
    /// Paths of the requests received, in order.
    const QList<QByteArray> &paths() const { return m_paths; }

private:
    void accept()
    {
        QTcpSocket *socket = m_server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }

    void read(QTcpSocket *socket)
    {
        if (!socket->peek(socket->bytesAvailable()).contains("\r\n\r\n"))
            return;
        const QByteArray path = socket->readAll().split(' ').value(1);
        m_paths.append(path);
        const QByteArray body = m_handler(path);
        if (body.isEmpty())
            return;
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size())
                      + "\r\n\r\n");
        writeRest(socket, body);
    }

    void writeRest(QTcpSocket *socket, const QByteArray &rest)
    {
        socket->write(rest.left(m_partBytes));
        if (rest.size() <= m_partBytes)
            return;
        QTimer::singleShot(m_interval, socket,
                           [this, socket, rest] { writeRest(socket, rest.mid(m_partBytes)); });
    }

    Handler m_handler;
    qsizetype m_partBytes;
    std::chrono::milliseconds m_interval;
    QTcpServer m_server;
    QList<QByteArray> m_paths;
};

} // namespace cranberry::test
