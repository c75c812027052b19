// Defines CallerConnection, one accepted connection and the request on it.
#pragma once

#include "base/Units.h"
#include "http/HttpHeaders.h"

#include <functional>
#include <memory>

namespace cranberry {

class CallerConnection;
class CallerReply;
class TcpStream;
class TimerService;
enum class ErrorKind;
struct CallerLimits;
struct HttpRequest;
struct HttpResponse;

namespace internal {
class HttpRequestParser;
}

/// What a connection needs of its listener; all members outlive it.
struct CallerConnectionContext {
    TimerService &timers;
    /// In force for requests that begin now.
    const CallerLimits &limits;
    std::function<void(const HttpRequest &, const std::shared_ptr<CallerReply> &)> handler;
    /// The answer to a request that never became one.
    std::function<HttpResponse(ErrorKind kind)> rejection;
    /// Answers carry "Connection: close".
    const bool &closing;
    std::function<void(CallerConnection *)> ended;
};

/// Reads one request at a time; the next one waits until this one is answered.
/// Thread safety: only from the thread of the listener.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerConnectionContext &context, std::unique_ptr<TcpStream> stream);
    ~CallerConnection();

    /// Begins to read. Precondition: held by a shared pointer.
    void start();
    /// Closes it if a bound of time has passed.
    void sweep();
    /// Closes it if no request is under way or begun.
    void closeIfIdle();

    bool isAnswering(quint64 request) const;
    bool isAnswering() const { return m_state == State::Answering || m_state == State::Streaming; }
    void send(const HttpResponse &response);
    void startStream(int status, const HttpHeaders &headers);
    void writeChunk(const QByteArray &data);
    void endStream();
    void abort();
    void onGone(std::function<void()> callback) { m_gone = std::move(callback); }
    qsizetype unsentBytes() const;

private:
    enum class State {
        Reading,
        Answering,
        Streaming,
        /// The last answer is out; waits for the caller to close.
        Lingering,
        Ended,
    };

    void received(const QByteArray &data);
    void parse();
    void dispatch();
    void reject(ErrorKind kind);
    void writeHead(int status, const HttpHeaders &headers);
    void answered();
    void linger();
    void finish();

    CallerConnectionContext &m_context;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<internal::HttpRequestParser> m_parser;
    QByteArray m_incoming;
    State m_state = State::Reading;
    quint64 m_request = 0;
    bool m_closeAfter = false;
    bool m_parsing = false;
    MonotonicTime m_since;
    std::function<void()> m_gone;
};

} // namespace cranberry
