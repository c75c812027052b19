#include "gateway/CompletionAnswer.h"

#include "base/Error.h"
#include "base/EventLog.h"
#include "base/TimerService.h"
#include "delivery/TokenEvent.h"
#include "gateway/AnswerMetrics.h"
#include "gateway/ProblemResponse.h"
#include "http/HttpResponder.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

CompletionAnswer::CompletionAnswer(std::shared_ptr<HttpResponder> responder,
                                   const CompletionRequest &request, TimerService &timers,
                                   AnswerMetrics &metrics, std::function<void()> onSlowReader)
    : m_responder(std::move(responder))
    , m_request(request.generation.id)
    , m_model(request.generation.model)
    , m_shape(request.shape)
    , m_stream(request.stream)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_lastEventTime(timers.now())
    , m_onSlowReader(std::move(onSlowReader))
{
}

CompletionAnswer::~CompletionAnswer() = default;

void CompletionAnswer::deliver(const TokenEvent &event)
{
    recordLatency();
    if (m_stream) {
        write("id: " + QByteArray::number(event.index) + "\ndata: " + event.data + "\n\n");
        return;
    }
    m_text += event.text;
    if (!event.isLast())
        return;
    m_finishReason = event.finishReason;
    m_usage = event.usage;
    m_generation = event.attempt.text();
}

void CompletionAnswer::recordLatency()
{
    const MonotonicTime now = m_timers.now();
    const std::chrono::duration<double, std::milli> gap = now - m_lastEventTime;
    LatencyHistogram &histogram =
        m_hasFirstEvent ? m_metrics.interTokenLatency : m_metrics.timeToFirstToken;
    histogram.add(gap.count());
    m_hasFirstEvent = true;
    m_lastEventTime = now;
}

void CompletionAnswer::write(const QByteArray &bytes)
{
    if (!m_responder->isStarted()) {
        m_responder->startStream(200,
                                 {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {"Cranberry-Request", m_request.text().toUtf8()}});
    }
    if (m_responder->write(bytes) != HttpResponder::WriteResult::TooSlow)
        return;
    const std::function<void()> onSlowReader = std::exchange(m_onSlowReader, nullptr);
    if (onSlowReader)
        onSlowReader();
}

void CompletionAnswer::finished()
{
    ++m_metrics.completed;
    logEvent(LogLevel::Info, EventId::RequestFinished, {{"request", m_request.text()}});
    if (m_stream) {
        write("data: [DONE]\n\n");
        m_responder->end();
        return;
    }
    HttpResponse response = jsonResponse(200, completeBody());
    response.headers.add("Cranberry-Request", m_request.text().toUtf8());
    m_responder->send(response);
}

void CompletionAnswer::failed(const Error &error)
{
    ++m_metrics.failedByKind[std::size_t(error.kind)];
    logEvent(LogLevel::Warning, EventId::RequestFailed,
             {{"request", m_request.text()},
              {"kind", QLatin1String(errorAnswer(error.kind).name)},
              {"ran", QLatin1String(ranName(error.ran))},
              {"detail", error.detail}});
    if (!m_responder->isStarted()) {
        m_responder->send(problemResponse(error));
        return;
    }
    const QByteArray event = "event: error\ndata: " + problemJson(error) + "\n\n";
    if (m_responder->write(event) == HttpResponder::WriteResult::Written)
        m_responder->end();
    else
        m_responder->abort();
}

QByteArray CompletionAnswer::completeBody() const
{
    const bool chat = m_shape == CompletionShape::Chat;
    QJsonObject choice{{QStringLiteral("index"), 0},
                       {QStringLiteral("finish_reason"), m_finishReason}};
    if (chat)
        choice.insert(QStringLiteral("message"),
                      QJsonObject{{QStringLiteral("role"), QStringLiteral("assistant")},
                                  {QStringLiteral("content"), m_text}});
    else
        choice.insert(QStringLiteral("text"), m_text);
    const QJsonObject body{
        {QStringLiteral("id"), m_generation},
        {QStringLiteral("object"),
         chat ? QStringLiteral("chat.completion") : QStringLiteral("text_completion")},
        {QStringLiteral("model"), m_model.text()},
        {QStringLiteral("choices"), QJsonArray{choice}},
        {QStringLiteral("usage"), QJsonDocument::fromJson(m_usage).object()},
    };
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

} // namespace cranberry
