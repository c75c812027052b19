// Defines HttpResponder, the way back to the caller of one request.
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

/// Answers one request, whole or as a chunked stream. It outlives the connection safely:
/// once the caller has gone, everything written is dropped.
/// Thread safety: only from the thread of the server.
class HttpResponder
{
public:
    enum class WriteResult {
        Written,
        /// The caller has gone; nothing was written.
        Gone,
        /// The caller does not read and the bound of unread bytes is reached.
        TooSlow,
    };

    HttpResponder(QHttpServerResponder responder, QTcpSocket *socket, Bytes unreadLimit);
    ~HttpResponder();
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /// Sends a whole answer. Precondition: nothing was sent before.
    void send(const HttpResponse &response);

    /// Begins a stream. Precondition: nothing was sent before.
    void startStream(int status, const HttpHeaders &headers);

    /// Sends one chunk. Precondition: a stream was begun and not ended.
    WriteResult write(const QByteArray &data);

    /// Ends the stream regularly. Precondition: a stream was begun and not ended.
    void end();

    /// Closes the connection at once, so that the caller sees a broken answer.
    void abort();

    bool isStarted() const { return m_state != State::Unanswered; }
    bool isOpen() const;

    /// @p callback is called once if the caller leaves before the answer is complete.
    void onCallerGone(std::function<void()> callback);

    /// Called by the server when an answer is complete, to take the next request.
    void onComplete(std::function<void()> callback) { m_completed = std::move(callback); }

private:
    enum class State {
        Unanswered,
        Streaming,
        Complete,
    };

    void writeHead(int status, const HttpHeaders &headers);
    void complete();
    void callerGone();

    std::optional<QHttpServerResponder> m_responder;
    QPointer<QTcpSocket> m_socket;
    Bytes m_unreadLimit;
    State m_state = State::Unanswered;
    std::function<void()> m_callerGone;
    std::function<void()> m_completed;
    QMetaObject::Connection m_disconnected;
};

} // namespace cranberry
