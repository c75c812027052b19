// Defines CompletionAnswer, which writes a generation back to its caller.
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

/// One caller's answer, as server-sent events or as one JSON object. The status line goes out
/// with the first event, so that a failure before it can still be answered with its status.
/// Thread safety: only from the thread of the server.
class CompletionAnswer final : public AnswerSink
{
public:
    /// @p tooSlow is called, once, when the caller does not read its stream.
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
