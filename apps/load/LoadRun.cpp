#include "load/LoadRun.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpRequest.h"
#include "load/LoadMetrics.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace cranberry::load {

namespace {

/// Like a load balancer, a request moves on to the next entry VM if a connection is not accepted.
constexpr int MaxConnectAttempts = 3;

QByteArray completionBody(const TrafficMix &mix, const PlannedRequest &planned)
{
    QJsonObject body{{QStringLiteral("model"), mix.model},
                     {QStringLiteral("max_tokens"), planned.maxTokens},
                     {QStringLiteral("stream"), true}};
    if (planned.kind == RequestKind::Chat) {
        const QJsonObject message{{QStringLiteral("role"), QStringLiteral("user")},
                                  {QStringLiteral("content"), planned.prompt}};
        body.insert(QStringLiteral("messages"), QJsonArray{message});
    } else {
        body.insert(QStringLiteral("prompt"), planned.prompt);
    }
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

} // namespace

LoadRun::LoadRun(TimerService &timers, HttpClient &client, const LoadTargets &targets,
                 const TrafficMix &mix, QList<PlannedRequest> plan, QByteArray nonce)
    : m_timers(timers)
    , m_client(client)
    , m_targets(targets)
    , m_mix(mix)
    , m_plan(std::move(plan))
    , m_nonce(std::move(nonce))
    , m_results(std::size_t(m_plan.size()))
    , m_exchanges(std::size_t(m_plan.size()))
{
    for (std::size_t i = 0; i < m_results.size(); ++i)
        m_results[i].request = m_plan.at(qsizetype(i));
}

LoadRun::~LoadRun() = default;

void LoadRun::run(Milliseconds answerTimeout)
{
    m_start = m_timers.now();
    m_timeoutTimer = m_timers.after(m_mix.duration + answerTimeout, [this] { m_loop.quit(); });
    m_arrivalTimer = m_timers.after(Milliseconds(0), [this] { sendDueRequests(); });
    m_loop.exec();
    m_exchanges.clear();
}

void LoadRun::sendDueRequests()
{
    const MonotonicTime now = m_timers.now();
    while (m_next < m_results.size() && m_start + m_results[m_next].request.sendOffset <= now) {
        const MonotonicTime due = m_start + m_results[m_next].request.sendOffset;
        m_sendLags.push_back(std::chrono::duration<double, std::milli>(now - due).count());
        m_results[m_next].sentAt = now;
        ++m_inFlight;
        send(m_next, 0);
        ++m_next;
    }
    if (m_next < m_results.size()) {
        const auto delay = std::chrono::ceil<Milliseconds>(
            m_start + m_results[m_next].request.sendOffset - m_timers.now());
        m_arrivalTimer =
            m_timers.after(std::max(delay, Milliseconds(0)), [this] { sendDueRequests(); });
    } else if (m_inFlight == 0) {
        m_loop.quit();
    }
}

HttpRequest LoadRun::requestFor(const PlannedRequest &planned, std::size_t index) const
{
    HttpRequest request;
    request.method = "POST";
    request.headers.add("Authorization", "Bearer " + m_mix.keys.at(planned.workspace));
    request.headers.add("Content-Type", "application/json");
    if (planned.deadline.count() > 0)
        request.headers.add("Cranberry-Deadline-Ms", QByteArray::number(planned.deadline.count()));
    request.headers.add("Cranberry-Idempotent", planned.atMostOnce ? "no" : "yes");
    if (planned.atMostOnce)
        request.headers.add("Idempotency-Key", m_nonce + '-' + QByteArray::number(index));
    if (planned.kind == RequestKind::Plain) {
        request.path = "/services/" + m_mix.plainService.toUtf8() + "/lookup";
        request.body = planned.prompt.toUtf8();
        return request;
    }
    const bool isChat = planned.kind == RequestKind::Chat;
    request.path = isChat ? "/v1/chat/completions" : "/v1/completions";
    request.body = completionBody(m_mix, planned);
    return request;
}

void LoadRun::send(std::size_t index, int attempt)
{
    RequestResult &result = m_results[index];
    const quint64 gateways = quint64(m_targets.gateways.size());
    const auto gatewayIndex = qsizetype((result.request.gatewayDraw + quint64(attempt)) % gateways);
    HttpExchangeCallbacks callbacks;
    callbacks.headers = [&result](int status, const HttpHeaders &headers) {
        result.response.status = status;
        result.response.headers = headers;
    };
    callbacks.body = [this, &result](const QByteArray &data) {
        if (result.response.headers.value("Content-Type").startsWith("text/event-stream"))
            result.answer.feed(data, m_timers.now());
        else
            result.response.body += data;
    };
    callbacks.finished = [this, index, attempt](HttpExchangeEnd end, const QString &) {
        handleEnd(index, attempt, end);
    };
    m_exchanges[index] = m_client.send(m_targets.gateways.at(gatewayIndex),
                                       requestFor(result.request, index), {}, std::move(callbacks));
}

void LoadRun::handleEnd(std::size_t index, int attempt, HttpExchangeEnd end)
{
    if (end == HttpExchangeEnd::NotConnected && attempt + 1 < MaxConnectAttempts) {
        send(index, attempt + 1);
        return;
    }
    RequestResult &result = m_results[index];
    result.hasEnded = true;
    result.end = end;
    result.endedAt = m_timers.now();
    --m_inFlight;
    if (m_inFlight == 0 && m_next == m_results.size())
        m_loop.quit();
}

void LoadRun::recordLag(LoadMetrics &metrics) const
{
    for (const double sendLag : m_sendLags)
        metrics.sendLag.add(sendLag);
}

} // namespace cranberry::load
