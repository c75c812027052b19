// Defines CallerReply, the way back to the caller of one request.
#pragma once

#include "http/HttpHeaders.h"

#include <functional>
#include <memory>

namespace cranberry {

class CallerConnection;
struct HttpResponse;

/// Answers one request, whole or as a chunked stream. It outlives the connection safely: once
/// the caller has gone, everything written is dropped.
/// Thread safety: only from the thread of the listener.
class CallerReply
{
public:
    CallerReply(std::weak_ptr<CallerConnection> connection, quint64 request);

    /// Sends a whole answer. Precondition: nothing was sent before.
    void send(const HttpResponse &response);
    /// Begins a stream. Precondition: nothing was sent before.
    void startStream(int status, const HttpHeaders &headers);
    /// Sends one chunk. Precondition: a stream was begun and not ended.
    void write(const QByteArray &data);
    /// Ends the stream regularly. Precondition: a stream was begun and not ended.
    void end();
    /// Breaks the connection off, so that the caller sees an incomplete answer.
    void abort();
    /// @p callback is called once if the caller leaves before the answer is complete.
    void onCallerGone(std::function<void()> callback);
    /// Bytes of the answer that the caller has not taken yet.
    qsizetype unsentBytes() const;

private:
    std::shared_ptr<CallerConnection> connection() const;

    std::weak_ptr<CallerConnection> m_connection;
    quint64 m_request;
};

} // namespace cranberry
