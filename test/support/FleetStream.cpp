#include "support/FleetStream.h"

#include "base/TimerService.h"
#include "http/HttpClient.h"
#include "support/EventLoop.h"

#include <QJsonDocument>

namespace cranberry::test {

FleetStream::FleetStream(HttpClient &client, TimerService &timers, const HttpEndpoint &endpoint,
                         const HttpRequest &request, const HttpExchangeOptions &options)
    : m_timers(timers)
{
    m_response.status = 0;
    HttpExchangeCallbacks callbacks;
    callbacks.headers = [this](int status, const HttpHeaders &headers) {
        m_response.status = status;
        m_response.headers = headers;
    };
    callbacks.body = [this](const QByteArray &data) {
        m_response.body += data;
        if (m_response.headers.value("Content-Type").startsWith("text/event-stream"))
            m_answer.feed(data, m_timers.now());
    };
    callbacks.finished = [this](HttpExchangeEnd end, const QString &) { m_end = end; };
    m_exchange = client.send(endpoint, request, options, std::move(callbacks));
}

QJsonObject FleetStream::json() const
{
    return QJsonDocument::fromJson(m_response.body).object();
}

QString FleetStream::problemKind() const
{
    const QJsonObject problem = m_answer.error().isEmpty() ? json() : m_answer.error();
    return problem.value(QStringLiteral("kind")).toString();
}

bool FleetStream::isWhole() const
{
    return m_end == HttpExchangeEnd::Complete && m_answer.isDone()
        && !m_answer.finishReason().isEmpty() && m_answer.error().isEmpty()
        && m_answer.idsAreConsecutive();
}

bool FleetStream::waitForTokens(int count)
{
    waitFor([&] { return tokenCount() >= count || isOver(); });
    return tokenCount() >= count;
}

bool FleetStream::waitOver()
{
    return waitFor([this] { return isOver(); }, std::chrono::seconds(120));
}

} // namespace cranberry::test
