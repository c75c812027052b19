#pragma once

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpEndpoint.h"
#include "http/HttpResponse.h"

#include <QList>
#include <QTcpSocket>

#include <memory>

namespace cranberry::test {

/// A piece of a request, and how long after the piece before it, or the connection, it is written.
struct RequestPart {
    Milliseconds delay{0};
    QByteArray bytes;
};

/// A caller that sends its request in parts, as one on a narrow link does, and may use its
/// connection again.
/// Thread safety: only from the thread of its event loop.
class RawCaller
{
public:
    explicit RawCaller(const HttpEndpoint &endpoint);

    /// Sends a request. Precondition: no request is in progress.
    void send(QList<RequestPart> parts);
    /// The answer is whole, or the connection has ended.
    bool isOver() const { return m_isWhole || m_hasEnded; }
    bool isWhole() const { return m_isWhole; }
    /// Whether another request may be sent.
    bool isOpen() const { return m_isWhole && !m_hasEnded && !m_closes; }
    /// All parts were written.
    bool isSent() const { return m_parts.isEmpty(); }
    /// Status 0: no answer, or only a part of its head.
    const HttpResponse &response() const { return m_response; }

private:
    void writeNext();
    void receive();

    QtTimerService m_timers;
    QTcpSocket m_socket;
    QList<RequestPart> m_parts;
    std::unique_ptr<TimerSubscription> m_timer;
    QByteArray m_received;
    HttpResponse m_response;
    bool m_isConnected = false;
    bool m_isWhole = false;
    bool m_hasEnded = false;
    bool m_closes = false;
};

/// A POST request to @p path in two parts, and in chunks if @p isChunked.
QList<RequestPart> requestInParts(const QByteArray &path, const QByteArray &id, bool isChunked,
                                  Milliseconds beforeFirst, Milliseconds beforeSecond);

} // namespace cranberry::test
