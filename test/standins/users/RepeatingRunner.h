// Defines RepeatingRunner, a plain target that sends answers twice and rejects calls late.
#pragma once

#include "standins/users/ScriptedRunner.h"

#include <chrono>
#include <functional>
#include <optional>

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

    const QByteArray &id() const { return m_runner.id(); }
    /// Its entry in the store.
    QByteArray entry(const QByteArray &service, int slotCount = 8) const
    {
        return m_runner.entry(service, slotCount);
    }
    void setTimes(Times times) { m_times = std::move(times); }
    /// The time until a request without an id is rejected; unset: until the next request on the
    /// connection.
    void setRejectionTime(std::optional<std::chrono::milliseconds> time) { m_rejection = time; }
    /// @p callback is told of each request that it begins to run.
    void onRan(std::function<void(const HttpRequest &)> callback)
    {
        m_runner.onRan(std::move(callback));
    }

    /// Ids of the requests that it began to run.
    const QList<QByteArray> &ran() const { return m_runner.ran(); }
    /// Requests without an id.
    int calls() const { return m_calls; }
    /// Answers that were sent a second time.
    int repeats() const { return m_repeats; }

private:
    ScriptedAnswer answerTo(const HttpRequest &request);

    Times m_times;
    std::optional<std::chrono::milliseconds> m_rejection{0};
    int m_calls = 0;
    int m_repeats = 0;
    ScriptedRunner m_runner;
};

} // namespace cranberry::standin
