#include "http/CallerConnection.h"

#include "base/ErrorKind.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerLimits.h"
#include "http/CallerReply.h"
#include "http/ConnectionClosing.h"
#include "http/HttpRequestParser.h"
#include "http/HttpResponse.h"
#include "http/MemoryReclaim.h"
#include "http/RequestFraming.h"
#include "http/TcpStream.h"

namespace cranberry {

namespace {

/// Maximum size of pipelined data buffered while a response is incomplete or unsent; reading stops
/// above it.
constexpr qsizetype MaxPipelinedBytes = 64 * 1024;
/// Pipelined requests processed before other connections have their turn.
constexpr int MaxRequestsPerTurn = 16;

ErrorKind errorKindOf(const boost::beast::error_code &error)
{
    if (error == boost::beast::http::error::header_limit)
        return ErrorKind::HeadersTooLarge;
    if (error == boost::beast::http::error::body_limit)
        return ErrorKind::BodyTooLarge;
    return ErrorKind::BadRequest;
}

/// Cost of a request in progress beside its headers and body.
constexpr Bytes RequestOverhead{8 * 1024};
/// Copies of a request in progress: that of its run and that on its way to the target.
constexpr qint64 RequestCopies = 2;

const char *reasonPhrase(int status)
{
    // Clients evaluate only the status code. One phrase per status class keeps the line
    // well-formed.
    return status < 300 ? "OK" : status < 500 ? "Rejected" : "Failed";
}

} // namespace

CallerConnection::CallerConnection(CallerConnectionContext &context,
                                   std::unique_ptr<TcpStream> stream)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_charge(*context.memory)
    , m_acceptedAt(context.timers.now())
    , m_lastProgress(m_acceptedAt)
{
    context.memory->addConnection(this);
}

CallerConnection::~CallerConnection()
{
    m_context.memory->removeConnection(this);
}

void CallerConnection::start()
{
    TcpStreamCallbacks callbacks;
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    callbacks.received = [weak](const QByteArray &data) {
        if (const auto self = weak.lock())
            self->handleData(data);
    };
    callbacks.ended = [weak](TcpEnd) {
        if (const auto self = weak.lock())
            self->close();
    };
    callbacks.flushed = [weak] {
        if (const auto self = weak.lock())
            self->resumeParsing();
    };
    m_stream->setCallbacks(std::move(callbacks));
}

void CallerConnection::handleData(const QByteArray &data)
{
    m_receivedBytes += data.size();
    if (m_state == State::Lingering || m_dropsPipelined) {
        if (!std::exchange(m_hasDiscarded, true))
            logUnanswered("data after the close");
        return;
    }
    m_incoming += data;
    parse();
    updateReading();
    // May end this connection.
    if (!m_charge.makeRoom() && m_parser)
        reject(ErrorKind::QueueFull);
}

bool CallerConnection::mayParse() const
{
    // While a response is unsent, the next one would add to it.
    return m_state == State::Reading && !m_turnTimer && unsentBytes() == 0;
}

void CallerConnection::updateReading()
{
    if (m_state == State::Ended)
        return;
    updateCharge();
    m_stream->setReadingEnabled(m_state == State::Lingering || mayParse()
                                || m_incoming.size() <= MaxPipelinedBytes);
}

void CallerConnection::updateCharge()
{
    m_charge.set(heldBytes());
}

Bytes CallerConnection::heldBytes() const
{
    const Bytes buffered(m_incoming.size() + (m_stream ? m_stream->bufferedBytes() : 0));
    return buffered + m_requestBytes + (m_parser ? m_parser->heldBytes() : Bytes(0));
}

ReclaimCandidate CallerConnection::reclaimCandidate() const
{
    const auto since = [this](MonotonicTime start) {
        return std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - start);
    };
    switch (m_state) {
    case State::Reading:
        return {heldBytes(), since(m_parser ? m_requestBeganAt : m_lastProgress)};
    case State::Lingering:
        return {heldBytes(), since(m_lastProgress)};
    case State::Answering:
    case State::Streaming:
        return {Bytes(m_incoming.size()), since(m_requestBeganAt)};
    case State::Ended:
        break;
    }
    return {};
}

void CallerConnection::reclaim()
{
    switch (m_state) {
    case State::Reading:
        closeForRoom();
        break;
    case State::Lingering:
        close();
        break;
    case State::Answering:
    case State::Streaming:
        // The caller sends requests that were not read on another connection.
        m_closeAfterResponse = true;
        m_dropsPipelined = true;
        m_incoming = {};
        updateReading();
        break;
    case State::Ended:
        break;
    }
}

void CallerConnection::resumeParsing()
{
    parse();
    updateReading();
}

void CallerConnection::parse()
{
    // A response that is sent synchronously from the handler calls this function recursively; the
    // outer loop then parses the next request.
    if (m_parsing)
        return;
    m_parsing = true;
    int dispatched = 0;
    while (mayParse() && !m_incoming.isEmpty()) {
        if (!m_parser) {
            m_parser = std::make_unique<internal::HttpRequestParser>(
                std::uint32_t(m_context.limits.headers.value()),
                std::uint64_t(m_context.limits.body.value()));
            m_parsedBytes = 0;
            m_lastProgress = m_context.timers.now();
            m_requestBeganAt = m_lastProgress;
        }
        const bool hadHeaders = m_parser->is_header_done();
        boost::beast::error_code error;
        const std::size_t used = m_parser->put(
            boost::asio::const_buffer(m_incoming.constData(), size_t(m_incoming.size())), error);
        m_incoming.remove(0, qsizetype(used));
        const bool isStarved =
            error == boost::beast::http::error::need_more || (!error && used == 0);
        if (error && !isStarved) {
            reject(errorKindOf(error));
            break;
        }
        if (hadHeaders)
            m_parsedBytes += qsizetype(used);
        const bool isInBody = m_parser->is_header_done() && !m_parser->is_done();
        if (isInBody && isFramingTooLarge(framing(isStarved), m_context.limits.headers)) {
            reject(ErrorKind::HeadersTooLarge);
            break;
        }
        if (isStarved)
            break;
        if (!hadHeaders && m_parser->is_header_done() && !m_parser->is_done()
            && m_parser->request().headers.contains("Expect"))
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        if (m_parser->is_header_done())
            m_lastProgress = m_context.timers.now();
        if (!m_parser->is_done())
            continue;
        dispatch();
        if (++dispatched == MaxRequestsPerTurn)
            yieldTurn();
    }
    m_parsing = false;
}

void CallerConnection::yieldTurn()
{
    m_turnTimer = m_context.timers.after(Milliseconds(0), [this] {
        const auto self = shared_from_this();
        m_turnTimer.reset();
        resumeParsing();
    });
}

RequestFraming CallerConnection::framing(bool isStarved) const
{
    return {Bytes(isStarved ? m_incoming.size() : 0), Bytes(m_parsedBytes),
            Bytes(m_parser->request().body.size())};
}

void CallerConnection::dispatch()
{
    m_state = State::Answering;
    ++m_requestNumber;
    m_closeAfterResponse = !m_parser->keep_alive();
    const HttpRequest request = m_parser->request();
    m_requestBytes = Bytes(RequestCopies * m_parser->heldBytes().value() + RequestOverhead.value());
    m_parser.reset();
    updateCharge();
    if (!m_charge.makeRoom()) {
        m_context.memory->countReclaimed();
        reject(ErrorKind::QueueFull);
        return;
    }
    const auto self = shared_from_this();
    m_context.handler(request, std::make_shared<CallerReply>(self, m_requestNumber));
}

void CallerConnection::reject(ErrorKind kind)
{
    m_state = State::Answering;
    m_closeAfterResponse = true;
    m_incoming = {};
    m_parser.reset();
    m_requestBytes = Bytes(0);
    send(m_context.makeRejection(kind));
}

bool CallerConnection::isAnswering(quint64 requestNumber) const
{
    return isAnswering() && m_requestNumber == requestNumber;
}

void CallerConnection::writeHead(int status, const HttpHeaders &headers)
{
    QByteArray head =
        "HTTP/1.1 " + QByteArray::number(status) + ' ' + reasonPhrase(status) + "\r\n";
    for (const HttpHeaders::Field &field : headers.fields())
        head += field.first + ": " + field.second + "\r\n";
    if (m_closeAfterResponse || m_context.closing) {
        m_closeAfterResponse = true;
        head += "Connection: close\r\n";
    }
    m_stream->write(head + "\r\n");
}

void CallerConnection::send(const HttpResponse &response)
{
    HttpHeaders headers = response.headers;
    headers.add("Content-Length", QByteArray::number(response.body.size()));
    writeHead(response.status, headers);
    m_stream->write(response.body);
    completeResponse();
}

void CallerConnection::startStream(int status, const HttpHeaders &headers)
{
    m_state = State::Streaming;
    HttpHeaders all = headers;
    all.add("Transfer-Encoding", "chunked");
    writeHead(status, all);
}

void CallerConnection::writeChunk(const QByteArray &data)
{
    if (data.isEmpty())
        return;
    m_stream->write(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
    updateCharge();
}

void CallerConnection::endStream()
{
    m_stream->write("0\r\n\r\n");
    completeResponse();
}

void CallerConnection::endIncomplete()
{
    m_closeAfterResponse = true;
    completeResponse();
}

void CallerConnection::abort()
{
    m_onCallerGone = {};
    close();
}

qsizetype CallerConnection::unsentBytes() const
{
    return m_stream ? m_stream->unsentBytes() : 0;
}

QByteArray CallerConnection::callerAddress() const
{
    return m_stream ? m_stream->peerAddress().split(':').first() : QByteArray();
}

void CallerConnection::completeResponse()
{
    m_onCallerGone = {};
    m_requestBytes = Bytes(0);
    m_lastProgress = m_context.timers.now();
    m_responseEndedAt = m_lastProgress;
    if (m_closeAfterResponse) {
        linger();
        return;
    }
    m_state = State::Reading;
    resumeParsing();
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    updateReading();
    m_stream->shutDownSending();
}

void CallerConnection::closeIfDue(ListenerStage stage)
{
    switch (connectionAction(status(), stage, m_context.limits, m_context.listenerLimits)) {
    case ConnectionAction::Keep:
        break;
    case ConnectionAction::CloseUnread:
        closeUnread();
        break;
    case ConnectionAction::RejectSlow:
        reject(ErrorKind::RequestTooSlow);
        break;
    case ConnectionAction::RejectEnding:
        reject(ErrorKind::Draining);
        break;
    case ConnectionAction::Close:
        close();
        break;
    }
}

ConnectionStatus CallerConnection::status() const
{
    ConnectionStatus status;
    status.state = state();
    status.idle = std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - m_lastProgress);
    status.areHeadersPending = m_parser && !m_parser->is_header_done();
    status.hasUnsentBytes = unsentBytes() > 0;
    const MonotonicTime now = m_context.timers.now();
    if (m_parser)
        status.receiving = std::chrono::duration_cast<Milliseconds>(now - m_requestBeganAt);
    if (status.hasUnsentBytes && !isAnswering())
        status.sending = std::chrono::duration_cast<Milliseconds>(now - m_responseEndedAt);
    return status;
}

void CallerConnection::closeUnread()
{
    if (m_stream->hasUnreadBytes())
        return;
    if (state() == ConnectionState::AwaitingFirst)
        logUnanswered("no request arrived");
    closeOrderly();
}

void CallerConnection::closeOrderly()
{
    // The caller may not have read the response before.
    m_stream->shutDownSending();
    close();
}

void CallerConnection::closeForRoom()
{
    const bool isReceiving = state() == ConnectionState::Receiving;
    if (m_state == State::Lingering || unsentBytes() > 0)
        close();
    else if (isReceiving)
        reject(ErrorKind::QueueFull);
    else if (!m_stream->hasUnreadBytes())
        closeOrderly();
}

ConnectionState CallerConnection::state() const
{
    switch (m_state) {
    case State::Reading:
        if (m_parser || !m_incoming.isEmpty())
            return ConnectionState::Receiving;
        return m_requestNumber == 0 ? ConnectionState::AwaitingFirst
                                    : ConnectionState::AwaitingNext;
    case State::Answering:
        return ConnectionState::Answering;
    case State::Streaming:
        return ConnectionState::Streaming;
    case State::Lingering:
        return ConnectionState::Lingering;
    case State::Ended:
        break;
    }
    return ConnectionState::Ended;
}

void CallerConnection::logIfUnanswered()
{
    const ConnectionState current = state();
    if (current != ConnectionState::AwaitingNext && current != ConnectionState::Lingering
        && current != ConnectionState::Ended)
        logUnanswered("exit");
}

void CallerConnection::logUnanswered(const char *reason) const
{
    const auto age =
        std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - m_acceptedAt);
    logEvent(LogLevel::Info, EventId::ConnectionUnanswered,
             {{"peer", QString::fromLatin1(m_stream->peerAddress())},
              {"state", QLatin1String(connectionStateName(state()))},
              {"reason", QLatin1String(reason)},
              {"requests", QString::number(m_requestNumber)},
              {"bytes", QString::number(m_receivedBytes)},
              {"age_ms", QString::number(age.count())}});
}

void CallerConnection::close()
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    const auto self = shared_from_this();
    m_turnTimer.reset();
    const auto callback = std::exchange(m_onCallerGone, {});
    m_stream.reset();
    m_parser.reset();
    m_incoming = {};
    m_requestBytes = Bytes(0);
    updateCharge();
    if (callback)
        callback();
    m_context.ended(this);
}

} // namespace cranberry
