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
    };

    QByteArray bytes;
    After after = After::KeepOpen;
};

/// Thread safety: only from the thread of its event loop.
class RawRunner
{
public:
    /// Given the request's head and body as they came.
    using Answer = std::function<RawAnswer(const QByteArray &request)>;

    explicit RawRunner(Answer answer);

    HttpEndpoint endpoint() const;
    int requests() const { return m_requests; }
    /// The value of the header @p name in the raw @p request.
    static QByteArray header(const QByteArray &request, const QByteArray &name);

private:
    void accept();
    void read(class QTcpSocket *socket);

    Answer m_answer;
    int m_requests = 0;
    QTcpServer m_server;
};

} // namespace cranberry::standin
