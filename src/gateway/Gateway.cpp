#include "gateway/Gateway.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/WorkerPool.h"
#include "configuration/Configuration.h"
#include "delivery/AttachClient.h"
#include "delivery/ClaimService.h"
#include "delivery/DeliveryContext.h"
#include "delivery/PlainRun.h"
#include "delivery/RunRegistry.h"
#include "gateway/ArrivalTime.h"
#include "gateway/CompletionAnswer.h"
#include "gateway/MetricsText.h"
#include "gateway/PlainCall.h"
#include "gateway/ProblemResponse.h"
#include "gateway/WorkspaceKeys.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

namespace {

HttpResponse textResponse(int status, const QByteArray &text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, text};
}

Error keyReusedError()
{
    return {ErrorKind::IdempotencyKeyReused,
            Ran::No,
            QStringLiteral("the key was already used for a request with different content; "
                           "use a new key"),
            QStringLiteral("Idempotency-Key"),
            {}};
}

/// Headers about message framing, which the HTTP server sets itself when it forwards the answer
/// of a plain service.
bool isFramingHeader(const QByteArray &name)
{
    const QByteArray lower = name.toLower();
    return lower == "content-length" || lower == "transfer-encoding" || lower == "connection"
        || lower == "keep-alive";
}

HttpResponse forwardedResponse(const HttpResponse &answer)
{
    HttpResponse response;
    response.status = answer.status;
    response.body = answer.body;
    for (const HttpHeaders::Field &field : answer.headers.fields()) {
        if (!isFramingHeader(field.first))
            response.headers.add(field.first, field.second);
    }
    return response;
}

} // namespace

Gateway::Gateway(DeliveryContext &delivery, RunRegistry &runs, WorkerPool &workers, VmId self)
    : m_delivery(delivery)
    , m_runs(runs)
    , m_workers(workers)
    , m_self(std::move(self))
{
}

Gateway::~Gateway() = default;

void Gateway::setConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_keys = std::make_shared<const WorkspaceKeys>(*configuration);
    m_configuration = configuration;
}

int Gateway::pending() const
{
    const int attached = m_attachClient ? m_attachClient->running() : 0;
    return m_runs.running() + attached + m_parsingRequests + m_plainCalls;
}

void Gateway::handle(const HttpRequest &request, const Responder &responder)
{
    if (handleUnauthenticatedPath(request, responder))
        return;
    if (m_operatorHandler && m_operatorHandler(request, responder))
        return;
    const Result<WorkspaceId> workspace = admit(request);
    if (!workspace) {
        refuse(workspace.error(), responder);
        return;
    }
    if (request.method == "GET" && request.path == "/v1/models") {
        listModels(workspace.value(), responder);
    } else if (request.method == "POST" && request.path == "/v1/completions") {
        parseAndRun(request, workspace.value(), CompletionShape::Text, responder);
    } else if (request.method == "POST" && request.path == "/v1/chat/completions") {
        parseAndRun(request, workspace.value(), CompletionShape::Chat, responder);
    } else if (request.path.startsWith("/services/")) {
        const Result<PlainRequest> call =
            parsePlainCall(request, workspace.value(), m_configuration, arrivalNow());
        if (call)
            callPlain(call.value(), responder);
        else
            refuse(call.error(), responder);
    } else {
        refuse(
            {ErrorKind::UnknownPath,
             Ran::No,
             QStringLiteral("%1 %2: unknown method or path")
                 .arg(QString::fromUtf8(request.method), QString::fromUtf8(request.path.left(80))),
             QStringLiteral("path"),
             {}},
            responder);
    }
}

bool Gateway::handleUnauthenticatedPath(const HttpRequest &request, const Responder &responder)
{
    if (request.method != "GET")
        return false;
    if (request.path == "/healthz")
        responder->send(textResponse(200, "ok\n"));
    else if (request.path == "/readyz")
        responder->send(isReady() ? textResponse(200, "ready\n")
                                  : textResponse(503, "not ready\n"));
    else if (request.path == "/metrics")
        responder->send(textResponse(200, metricsText()));
    else
        return false;
    return true;
}

Result<WorkspaceId> Gateway::admit(const HttpRequest &request) const
{
    if (m_refusesNewRequests)
        return Error{
            ErrorKind::Draining,
            Ran::No,
            QStringLiteral("this daemon is shutting down; retry the request on another one"),
            {},
            {}};
    if (!m_configuration)
        return Error{ErrorKind::NotReady,
                     Ran::No,
                     QStringLiteral("this daemon has not received a configuration yet"),
                     {},
                     {}};
    return m_keys->authenticate(request);
}

void Gateway::listModels(const WorkspaceId &workspace, const Responder &responder)
{
    const QList<ServiceId> services = m_configuration->workspaces.value(workspace).services;
    QJsonArray models;
    for (auto model = m_configuration->models.cbegin(); model != m_configuration->models.cend();
         ++model) {
        if (services.contains(model->service))
            models.append(QJsonObject{{QStringLiteral("id"), model.key().text()},
                                      {QStringLiteral("object"), QStringLiteral("model")}});
    }
    const QJsonObject body{{QStringLiteral("object"), QStringLiteral("list")},
                           {QStringLiteral("data"), models}};
    responder->send(jsonResponse(200, QJsonDocument(body).toJson(QJsonDocument::Compact)));
}

ArrivalTime Gateway::arrivalNow() const
{
    return {m_delivery.timers.now(), QDateTime::currentMSecsSinceEpoch()};
}

void Gateway::parseAndRun(const HttpRequest &request, const WorkspaceId &workspace,
                          CompletionShape shape, const Responder &responder)
{
    ++m_parsingRequests;
    m_workers.run(
        this,
        [request, shape, workspace, configuration = m_configuration, arrival = arrivalNow()] {
            return parseCompletion(request, shape, workspace, configuration, arrival);
        },
        [this, responder](const Result<CompletionRequest> &parsed) {
            --m_parsingRequests;
            if (parsed)
                run(parsed.value(), responder);
            else
                refuse(parsed.error(), responder);
        });
}

void Gateway::run(const CompletionRequest &request, const Responder &responder)
{
    const GenerationRequest &generation = request.generation;
    logEvent(
        LogLevel::Info, EventId::RequestAccepted,
        {{"request", generation.id.text()},
         {"service", generation.service.text()},
         {"at_most_once", generation.atMostOnce ? QStringLiteral("yes") : QStringLiteral("no")}});
    const auto link = std::make_shared<CallerLink>();
    const std::shared_ptr<AnswerSink> sink = std::make_shared<CompletionAnswer>(
        responder, request, m_delivery.timers, m_metrics, [this, link] { abortSlowReader(*link); });
    link->sink = sink;
    responder->onCallerGone([this, link, id = generation.id] {
        logEvent(LogLevel::Info, EventId::CallerGone, {{"request", id.text()}});
        detach(*link);
    });
    const auto existingRun =
        generation.atMostOnce ? m_runs.findByClaim(generation.claimKey) : nullptr;
    if (existingRun) {
        if (existingRun->request().fingerprint != generation.fingerprint) {
            sink->failed(keyReusedError());
            return;
        }
        logEvent(LogLevel::Info, EventId::ClaimAttached, {{"request", generation.id.text()}});
        link->run = existingRun;
        existingRun->attach(sink);
        return;
    }
    link->run = m_runs.start(generation, sink, [this, request, link](const ClaimDecision &held) {
        if (const auto waitingSink = link->sink.lock())
            answerFromClaimHolder(held, request, waitingSink);
    });
}

void Gateway::detach(const CallerLink &link)
{
    const auto sink = link.sink.lock();
    if (!sink)
        return;
    if (m_attachClient)
        m_attachClient->detach(sink.get());
    if (const auto run = link.run.lock())
        run->detach(sink.get());
}

void Gateway::abortSlowReader(const CallerLink &link)
{
    if (const auto sink = link.sink.lock())
        sink->failed({ErrorKind::ReaderTooSlow,
                      Ran::Yes,
                      QStringLiteral("the caller read the answer too slowly"),
                      {},
                      {}});
    detach(link);
}

void Gateway::answerFromClaimHolder(const ClaimDecision &held, const CompletionRequest &request,
                                    const std::shared_ptr<AnswerSink> &sink)
{
    if (held.holderFingerprint != request.generation.fingerprint) {
        sink->failed(keyReusedError());
        return;
    }
    if (m_attachClient && held.holder != m_self) {
        logEvent(LogLevel::Info, EventId::ClaimAttached,
                 {{"request", request.generation.id.text()}, {"holder", held.holder.text()}});
        m_attachClient->follow(held, request.generation, sink);
        return;
    }
    sink->failed(
        {ErrorKind::OutcomeUnknown,
         Ran::Maybe,
         QStringLiteral("an earlier request used this key and its answer is not available"),
         {},
         {}});
}

void Gateway::callPlain(const PlainRequest &request, const Responder &responder)
{
    ++m_plainCalls;
    auto run = std::make_shared<std::shared_ptr<PlainRun>>();
    *run = std::make_shared<PlainRun>(m_delivery, request,
                                      [this, responder, run](const Result<HttpResponse> &answer) {
                                          --m_plainCalls;
                                          if (answer) {
                                              ++m_metrics.completed;
                                              responder->send(forwardedResponse(answer.value()));
                                          } else {
                                              refuse(answer.error(), responder);
                                          }
                                          run->reset();
                                      });
    const std::shared_ptr<PlainRun> alive = *run;
    alive->start();
}

void Gateway::refuse(const Error &error, const Responder &responder)
{
    ++m_metrics.failedByKind[std::size_t(error.kind)];
    logEvent(LogLevel::Info, EventId::RequestRefused,
             {{"kind", QLatin1String(errorAnswer(error.kind).name)},
              {"ran", QLatin1String(ranName(error.ran))},
              {"field", error.field}});
    responder->send(problemResponse(error));
}

QByteArray Gateway::metricsText() const
{
    QByteArray text = cranberry::metricsText(m_metrics, m_delivery.counters, m_runs.running());
    if (m_metricsSource)
        text += m_metricsSource();
    return text;
}

} // namespace cranberry
