#pragma once

#include "base/Units.h"
#include "http/ConnectionState.h"
#include "http/HttpHeaders.h"
#include "http/MemoryCharge.h"

#include <functional>
#include <memory>

namespace cranberry {

class CallerConnection;
class CallerReply;
class TcpStream;
class TimerService;
class TimerSubscription;
enum class ErrorKind;
enum class ListenerStage;
struct CallerLimits;
struct ConnectionStatus;
struct HttpRequest;
struct HttpResponse;
struct ListenerLimits;
struct ReclaimCandidate;
struct RequestFraming;

namespace internal {
class HttpRequestParser;
}

/// The state and callbacks of a listener that its connections use. All members outlive the
/// connections.
struct CallerConnectionContext {
    TimerService &timers;
    /// Limits for each request whose first byte is received from now on.
    const CallerLimits &limits;
    const ListenerLimits &listenerLimits;
    std::function<void(const HttpRequest &, const std::shared_ptr<CallerReply> &)> handler;
    /// Builds the response to a request that cannot be parsed, exceeds a limit or times out.
    std::function<HttpResponse(ErrorKind kind)> makeRejection;
    /// True if responses carry "Connection: close".
    const bool &closing;
    /// Set before the first connection is accepted.
    CallerMemory *memory;
    /// Called when the connection has ended, so that the listener releases it.
    std::function<void(CallerConnection *)> ended;
};

/// An accepted connection and the request on it. Reads one request at a time; the next request is
/// parsed after the response to the current one is complete and passed to the system.
/// Thread safety: only from the thread of the listener.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerConnectionContext &context, std::unique_ptr<TcpStream> stream);
    ~CallerConnection();

    /// Starts reading. Precondition: the object is owned by a shared pointer.
    void start();
    /// Closes the connection or rejects its request if connectionAction() says so.
    void closeIfDue(ListenerStage stage);
    /// Closes a connection without a request in progress, and rejects a request of which a part has
    /// arrived. A connection stays if a request on it waits to be read.
    void closeForRoom();
    /// Logs the connection if its request has no whole response; to be called before the process
    /// ends.
    void logIfUnanswered();

    ConnectionState state() const;
    ConnectionStatus status() const;
    /// What reclaim() would free.
    ReclaimCandidate reclaimCandidate() const;
    /// Rejects a request of which only a part has arrived, drops pipelined requests or closes a
    /// connection whose response is unread. A request in progress goes on.
    void reclaim();

    /// True while the response to request @p requestNumber of this connection is incomplete.
    bool isAnswering(quint64 requestNumber) const;
    bool isAnswering() const { return m_state == State::Answering || m_state == State::Streaming; }
    void send(const HttpResponse &response);
    void startStream(int status, const HttpHeaders &headers);
    void writeChunk(const QByteArray &data);
    void endStream();
    void endIncomplete();
    void abort();
    /// @p callback is called once if the connection ends before the response is complete.
    void onCallerGone(std::function<void()> callback) { m_onCallerGone = std::move(callback); }
    qsizetype unsentBytes() const;
    QByteArray callerAddress() const;

private:
    enum class State {
        Reading,
        Answering,
        Streaming,
        /// The last response is written; waits for the caller to close the connection.
        Lingering,
        Ended,
    };

    void handleData(const QByteArray &data);
    bool mayParse() const;
    void parse();
    void resumeParsing();
    /// Pauses reading while more is received than can be parsed.
    void updateReading();
    void updateCharge();
    Bytes heldBytes() const;
    /// Continues to parse after other connections had their turn.
    void yieldTurn();
    /// @p isStarved: the parser uses what was received only with more bytes. Precondition: a
    /// request is being parsed.
    RequestFraming framing(bool isStarved) const;
    void dispatch();
    void reject(ErrorKind kind);
    void writeHead(int status, const HttpHeaders &headers);
    void completeResponse();
    void linger();
    void closeUnread();
    void closeOrderly();
    void close();
    void logUnanswered(const char *reason) const;

    CallerConnectionContext &m_context;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<internal::HttpRequestParser> m_parser;
    MemoryCharge m_charge;
    QByteArray m_incoming;
    /// Of the request being parsed, after its headers.
    qsizetype m_parsedBytes = 0;
    State m_state = State::Reading;
    quint64 m_requestNumber = 0;
    /// Set while other connections have their turn.
    std::unique_ptr<TimerSubscription> m_turnTimer;
    bool m_closeAfterResponse = false;
    bool m_parsing = false;
    bool m_hasDiscarded = false;
    /// Requests after the current one are not read.
    bool m_dropsPipelined = false;
    /// Held for the request in progress.
    Bytes m_requestBytes{0};
    MonotonicTime m_requestBeganAt;
    MonotonicTime m_responseEndedAt;
    qint64 m_receivedBytes = 0;
    MonotonicTime m_acceptedAt;
    MonotonicTime m_lastProgress;
    std::function<void()> m_onCallerGone;
};

} // namespace cranberry
