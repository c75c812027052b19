// Defines ScriptedRunner, a target whose answers, right or wrong, a test writes.
#pragma once

#include "http/HttpEndpoint.h"
#include "http/HttpRequest.h"

#include <QTcpServer>

#include <chrono>
#include <functional>

class QTcpSocket;

namespace cranberry::standin {

/// What a target does with one request.
struct ScriptedAnswer {
    QByteArray bytes;
    /// It begins to run the request.
    bool isRun = false;
    /// Until the answer is sent.
    std::chrono::milliseconds delay{0};
    /// Further bytes, sent after the answer.
    QByteArray late{};
    std::chrono::milliseconds lateDelay{0};
    /// Further bytes, sent where the next answer on the connection is due.
    QByteArray due{};
};

/// The head and body of an answer.
struct AnswerText {
    int status = 200;
    /// Not sent if empty.
    QByteArray requestId;
    /// The target says that it did not run the request.
    bool isRejection = false;
    bool isSealed = false;
    /// Each ends with a line break.
    QByteArray moreHeaders;
    QByteArray body;

    QByteArray bytes() const;
};

/// Thread safety: only from the thread of its event loop.
class ScriptedRunner
{
public:
    using Script = std::function<ScriptedAnswer(const HttpRequest &request)>;

    explicit ScriptedRunner(QByteArray id);

    const QByteArray &id() const { return m_id; }
    HttpEndpoint endpoint() const;
    /// Its entry in the store.
    QByteArray entry(const QByteArray &service, int slotCount = 8) const;
    /// Precondition: called before the first request arrives.
    void setScript(Script script) { m_script = std::move(script); }
    /// @p callback is told of each request that it begins to run.
    void onRan(std::function<void(const HttpRequest &)> callback) { m_onRan = std::move(callback); }

    /// Ids of the requests that it began to run.
    const QList<QByteArray> &ran() const { return m_ran; }
    /// Its usual answer to @p request, which runs.
    static ScriptedAnswer run(const HttpRequest &request);
    /// The id of @p request; empty if it has none.
    static QByteArray idOf(const HttpRequest &request);

private:
    void accept();
    void read(QTcpSocket *socket);
    void handle(QTcpSocket *socket, const HttpRequest &request);
    void send(QTcpSocket *socket, const ScriptedAnswer &answer);

    QByteArray m_id;
    Script m_script;
    std::function<void(const HttpRequest &)> m_onRan;
    QList<QByteArray> m_ran;
    /// What precedes the next answer on a connection.
    QHash<QTcpSocket *, QByteArray> m_due;
    QTcpServer m_server;
};

} // namespace cranberry::standin
