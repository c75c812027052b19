#include "http/HttpResponder.h"

#include "http/HttpResponse.h"

#include <QTcpSocket>

namespace cranberry {

HttpResponder::HttpResponder(QHttpServerResponder responder, QTcpSocket *socket, Bytes unreadLimit)
    : m_responder(std::move(responder))
    , m_socket(socket)
    , m_unreadLimit(unreadLimit)
{
    m_disconnectedConnection = QObject::connect(socket, &QTcpSocket::disconnected, socket,
                                                [this] { handleDisconnected(); });
}

HttpResponder::~HttpResponder()
{
    QObject::disconnect(m_disconnectedConnection);
    // An incomplete response must not look complete to the caller.
    if (m_state != State::Complete)
        abort();
}

bool HttpResponder::isOpen() const
{
    return m_state != State::Complete && m_socket
        && m_socket->state() == QAbstractSocket::ConnectedState;
}

void HttpResponder::writeHead(int status, const HttpHeaders &headers)
{
    m_responder->writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
    for (const HttpHeaders::Field &field : headers.fields())
        m_responder->writeHeader(field.first, field.second);
}

void HttpResponder::send(const HttpResponse &response)
{
    Q_ASSERT(m_state == State::Unanswered);
    if (!isOpen())
        return;
    writeHead(response.status, response.headers);
    m_responder->writeHeader("Content-Length", QByteArray::number(response.body.size()));
    m_responder->writeBody(response.body);
    complete();
}

void HttpResponder::startStream(int status, const HttpHeaders &headers)
{
    Q_ASSERT(m_state == State::Unanswered);
    if (!isOpen())
        return;
    writeHead(status, headers);
    m_responder->writeHeader("Transfer-Encoding", "chunked");
    m_responder->writeBody(QByteArray());
    m_state = State::Streaming;
}

HttpResponder::WriteResult HttpResponder::write(const QByteArray &data)
{
    if (!isOpen() || m_state != State::Streaming)
        return WriteResult::Gone;
    if (m_socket->bytesToWrite() > m_unreadLimit.value())
        return WriteResult::TooSlow;
    if (data.isEmpty())
        return WriteResult::Written;
    m_responder->writeBody(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
    return WriteResult::Written;
}

void HttpResponder::end()
{
    if (!isOpen() || m_state != State::Streaming)
        return;
    m_responder->writeBody("0\r\n\r\n");
    complete();
}

void HttpResponder::abort()
{
    m_state = State::Complete;
    m_responder.reset();
    if (m_socket)
        m_socket->abort();
}

void HttpResponder::complete()
{
    m_state = State::Complete;
    m_responder.reset();
    QObject::disconnect(m_disconnectedConnection);
    if (m_onComplete)
        m_onComplete();
}

void HttpResponder::onCallerGone(std::function<void()> callback)
{
    m_onCallerGone = std::move(callback);
}

void HttpResponder::handleDisconnected()
{
    if (m_state == State::Complete)
        return;
    m_state = State::Complete;
    m_responder.reset();
    const std::function<void()> callback = std::exchange(m_onCallerGone, nullptr);
    if (callback)
        callback();
}

} // namespace cranberry
