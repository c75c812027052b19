// Defines RawRunner, a runner that writes bytes as a test gives them, right or wrong.
#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QTcpServer>

#include <functional>

namespace cranberry::standin {

/// What a raw runner does with one request.
struct RawAnswer {
    enum class After {
        KeepOpen,
        Close,
        Reset,
        /// Closes the listening socket before the connection, as the end of a process does.
        Exit,
    };

    QByteArray bytes;
    After after = After::KeepOpen;
    /// Size of the pieces in which the bytes are sent, one in each turn of the event loop; all
    /// bytes at once if zero.
    qsizetype pieceBytes = 0;
};

/// Thread safety: only from the thread of its event loop.
class RawRunner
{
public:
    /// Given the request's head and body as they came.
    using Answer = std::function<RawAnswer(const QByteArray &request)>;

    explicit RawRunner(Answer answer);

    HttpEndpoint endpoint() const { return m_endpoint; }
    /// Listens again after RawAnswer::After::Exit.
    void restart();
    int requests() const { return m_requests; }
    /// The value of the header @p name in the raw @p request.
    static QByteArray header(const QByteArray &request, const QByteArray &name);

private:
    void accept();
    void read(class QTcpSocket *socket);
    void send(QTcpSocket *socket, const RawAnswer &answer);
    void finish(QTcpSocket *socket, RawAnswer::After after);

    Answer m_answer;
    int m_requests = 0;
    HttpEndpoint m_endpoint;
    QTcpServer m_server;
};

} // namespace cranberry::standin
