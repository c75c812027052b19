// Defines RepeatingRunner, a plain target that sends answers twice and rejects calls late.
#pragma once

#include "http/HttpEndpoint.h"
#include "http/HttpRequest.h"

#include <QTcpServer>

#include <chrono>
#include <functional>
#include <memory>

class QTcpSocket;

namespace cranberry::standin {

/// When a target sends an answer, and the same answer again.
struct AnswerTimes {
    std::chrono::milliseconds answer{0};
    bool isRepeated = false;
    /// After the first answer; unset: where the next answer on the connection is due.
    std::optional<std::chrono::milliseconds> repeat;
};

/// Runs each request that has an id and rejects all others, such as probes, as not executed.
/// Requests that it begins to run are never rejected.
/// Thread safety: only from the thread of its event loop.
class RepeatingRunner
{
public:
    using Times = std::function<AnswerTimes(const HttpRequest &request)>;

    explicit RepeatingRunner(QByteArray id);

    const QByteArray &id() const { return m_id; }
    HttpEndpoint endpoint() const;
    /// Its entry in the store.
    QByteArray entry(const QByteArray &service, int slotCount = 8) const;
    void setTimes(Times times) { m_times = std::move(times); }
    /// The time until a request without an id is rejected; unset: until the next request on the
    /// connection.
    void setRejectionTime(std::optional<std::chrono::milliseconds> time) { m_rejection = time; }
    /// @p callback is told of each request that it begins to run.
    void onRan(std::function<void(const HttpRequest &)> callback) { m_onRan = std::move(callback); }

    /// Ids of the requests that it began to run.
    const QList<QByteArray> &ran() const { return m_ran; }
    /// Requests without an id.
    int calls() const { return m_calls; }
    /// Answers that were sent a second time.
    int repeats() const { return m_repeats; }

private:
    void accept();
    void read(QTcpSocket *socket);
    void handle(QTcpSocket *socket, const HttpRequest &request);
    void answered(QTcpSocket *socket, const QByteArray &answer, const AnswerTimes &times);

    QByteArray m_id;
    Times m_times;
    std::optional<std::chrono::milliseconds> m_rejection{0};
    std::function<void(const HttpRequest &)> m_onRan;
    QList<QByteArray> m_ran;
    int m_calls = 0;
    int m_repeats = 0;
    /// What precedes the next answer on a connection.
    QHash<QTcpSocket *, QByteArray> m_due;
    QTcpServer m_server;
};

} // namespace cranberry::standin
