#pragma once

#include "delivery/AnswerSink.h"
#include "gateway/CompletionRequest.h"

#include <QString>

#include <functional>
#include <memory>

namespace cranberry {

class HttpResponder;
class TimerService;
struct AnswerMetrics;

/// Writes a generation to its caller, as server-sent events or as one JSON object. The status
/// line is sent with the first event, so that an earlier failure is answered with its own status.
/// Thread safety: only from the thread of the server.
class CompletionAnswer final : public AnswerSink
{
public:
    /// @p onSlowReader is called at most once, when the caller reads its stream too slowly.
    /// Precondition: @p timers and @p metrics outlive the answer.
    CompletionAnswer(std::shared_ptr<HttpResponder> responder, const CompletionRequest &request,
                     TimerService &timers, AnswerMetrics &metrics,
                     std::function<void()> onSlowReader);
    ~CompletionAnswer() override;

    void deliver(const TokenEvent &event) override;
    void finished() override;
    void failed(const Error &error) override;

private:
    void write(const QByteArray &bytes);
    void recordLatency();
    QByteArray completeBody() const;

    std::shared_ptr<HttpResponder> m_responder;
    RequestId m_request;
    ModelId m_model;
    CompletionShape m_shape;
    bool m_stream;
    TimerService &m_timers;
    AnswerMetrics &m_metrics;
    MonotonicTime m_lastEventTime;
    bool m_hasFirstEvent = false;
    std::function<void()> m_onSlowReader;
    QString m_text;
    QString m_finishReason;
    QByteArray m_usage;
    QString m_generation;
};

} // namespace cranberry
