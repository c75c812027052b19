// Defines EarlyRunner, a runner that answers a request before it has read its body.
#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QTcpServer>

#include <functional>

namespace cranberry::standin {

/// What an early runner sends once it has read the head of a request.
struct EarlyAnswer {
    enum class End {
        KeepOpen,
        /// Closes the sending side in order and reads no further.
        HalfClose,
        /// Closes the connection, with the rest of the request unread.
        Close,
        Reset,
        /// Reads the whole request, then closes the connection in order.
        CloseAfterRequest,
    };

    QByteArray bytes;
    End end = End::KeepOpen;
};

/// Thread safety: only from the thread of its event loop.
class EarlyRunner
{
public:
    /// Given the head of the request.
    using Answer = std::function<EarlyAnswer(const QByteArray &head)>;

    explicit EarlyRunner(Answer answer);

    HttpEndpoint endpoint() const;

private:
    void accept();
    void read(class QTcpSocket *socket);
    static void finish(QTcpSocket *socket, EarlyAnswer::End end, qint64 bodyBytes);

    Answer m_answer;
    QTcpServer m_server;
};

} // namespace cranberry::standin
