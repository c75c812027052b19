#pragma once

#include "http/HttpHeaders.h"

#include <functional>
#include <memory>

namespace cranberry {

class CallerConnection;
struct HttpResponse;

/// Sends the response to one request, in one piece or as a chunked stream. It may outlive the
/// connection: after the caller has disconnected, all writes are dropped.
/// Thread safety: only from the thread of the listener.
class CallerReply
{
public:
    CallerReply(std::weak_ptr<CallerConnection> connection, quint64 requestNumber);

    /// Sends a complete response. Precondition: nothing was sent before.
    void send(const HttpResponse &response);
    /// Starts a chunked stream. Precondition: nothing was sent before.
    void startStream(int status, const HttpHeaders &headers);
    /// Sends one chunk. Precondition: a stream was started and not ended.
    void write(const QByteArray &data);
    /// Ends the stream with the final chunk. Precondition: a stream was started and not ended.
    void end();
    /// Closes the connection without the final chunk after the chunks so far, so that the caller
    /// sees an incomplete response. Precondition: a stream was started and not ended.
    void endIncomplete();
    /// Closes the connection at once, so that the caller sees an incomplete response.
    void abort();
    /// @p callback is called once if the caller disconnects before the response is complete.
    void onCallerGone(std::function<void()> callback);
    /// The address of the caller, without its port; empty once it has disconnected.
    QByteArray callerAddress() const;
    /// Bytes of the response that are not yet passed to the system's socket buffer.
    qsizetype unsentBytes() const;

private:
    std::shared_ptr<CallerConnection> connection() const;

    std::weak_ptr<CallerConnection> m_connection;
    quint64 m_requestNumber;
};

} // namespace cranberry
