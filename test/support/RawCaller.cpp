#include "support/RawCaller.h"

namespace cranberry::test {

RawCaller::RawCaller(const HttpEndpoint &endpoint)
{
    QObject::connect(&m_socket, &QTcpSocket::connected, &m_socket, [this] {
        m_isConnected = true;
        writeNext();
    });
    QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] { receive(); });
    QObject::connect(&m_socket, &QTcpSocket::errorOccurred, &m_socket, [this] {
        receive();
        m_hasEnded = true;
    });
    m_socket.connectToHost(endpoint.address, endpoint.port);
}

void RawCaller::send(QList<RequestPart> parts)
{
    m_parts = std::move(parts);
    m_received.clear();
    m_response = {};
    m_response.status = 0;
    m_isWhole = false;
    if (m_isConnected)
        writeNext();
}

void RawCaller::writeNext()
{
    if (m_parts.isEmpty())
        return;
    m_timer = m_timers.after(m_parts.first().delay, [this] {
        m_socket.write(m_parts.takeFirst().bytes);
        writeNext();
    });
}

void RawCaller::receive()
{
    m_received += m_socket.readAll();
    const qsizetype headEnd = m_received.indexOf("\r\n\r\n");
    if (headEnd < 0 || m_isWhole)
        return;
    const QList<QByteArray> lines = m_received.left(headEnd).split('\n');
    m_response.status = lines.first().split(' ').value(1).toInt();
    m_response.headers = {};
    for (const QByteArray &line : lines.mid(1)) {
        const qsizetype colon = line.indexOf(':');
        m_response.headers.add(line.left(colon), line.mid(colon + 1).trimmed());
    }
    m_response.body = m_received.mid(headEnd + 4);
    // Plain answers have a length.
    m_isWhole = m_response.body.size() == m_response.headers.value("Content-Length").toLongLong();
    m_closes = m_response.headers.value("Connection") == "close";
}

QList<RequestPart> requestInParts(const QByteArray &path, const QByteArray &id, bool isChunked,
                                  Milliseconds beforeFirst, Milliseconds beforeSecond)
{
    const QByteArray body = "body of " + id;
    const QByteArray head = "POST " + path
        + " HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\n"
          "Cranberryquay-Deadline-Ms: 2500\r\nCranberryquay-Request-Id: "
        + id + "\r\n";
    const QByteArray first = body.left(body.size() / 2);
    const QByteArray second = body.mid(first.size());
    const auto chunk = [](const QByteArray &data) {
        return QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n";
    };
    if (isChunked)
        return {{beforeFirst, head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first)},
                {beforeSecond, chunk(second) + "0\r\n\r\n"}};
    const QByteArray length = QByteArray::number(body.size());
    return {{beforeFirst, head + "Content-Length: " + length + "\r\n\r\n" + first},
            {beforeSecond, second}};
}

} // namespace cranberry::test
