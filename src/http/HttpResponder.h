#pragma once

#include "base/Units.h"
#include "http/HttpHeaders.h"

#include <QHttpServerResponder>
#include <QPointer>

#include <functional>
#include <memory>
#include <optional>

class QTcpSocket;

namespace cranberry {

struct HttpResponse;

/// Sends the response to one request, in one piece or as a chunked stream. It may outlive the
/// connection: after the caller has disconnected, all writes are dropped.
/// Thread safety: only from the thread of the server.
class HttpResponder
{
public:
    enum class WriteResult {
        Written,
        /// The caller has disconnected; nothing was written.
        Gone,
        /// The caller does not read and the limit of unread bytes is exceeded.
        TooSlow,
    };

    HttpResponder(QHttpServerResponder responder, QTcpSocket *socket, Bytes unreadLimit);
    ~HttpResponder();
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /// Sends a complete response. Precondition: nothing was sent before.
    void send(const HttpResponse &response);

    /// Starts a chunked stream. Precondition: nothing was sent before.
    void startStream(int status, const HttpHeaders &headers);

    /// Sends one chunk. Precondition: a stream was started and not ended.
    WriteResult write(const QByteArray &data);

    /// Ends the stream with the final chunk. Precondition: a stream was started and not ended.
    void end();

    /// Closes the connection at once, so that the caller sees an incomplete response.
    void abort();

    bool isStarted() const { return m_state != State::Unanswered; }
    bool isOpen() const;

    /// @p callback is called once if the caller disconnects before the response is complete.
    void onCallerGone(std::function<void()> callback);

    /// The server sets @p callback to learn when the response is complete and the connection can
    /// take the next request.
    void onComplete(std::function<void()> callback) { m_onComplete = std::move(callback); }

private:
    enum class State {
        Unanswered,
        Streaming,
        Complete,
    };

    void writeHead(int status, const HttpHeaders &headers);
    void complete();
    void handleDisconnected();

    std::optional<QHttpServerResponder> m_responder;
    QPointer<QTcpSocket> m_socket;
    Bytes m_unreadLimit;
    State m_state = State::Unanswered;
    std::function<void()> m_onCallerGone;
    std::function<void()> m_onComplete;
    QMetaObject::Connection m_disconnectedConnection;
};

} // namespace cranberry
