#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "gateway/AnswerMetrics.h"
#include "gateway/CompletionRequest.h"

#include <QObject>

#include <functional>
#include <memory>

namespace cranberry {

class AnswerSink;
class AttachClient;
class GenerationRun;
class HttpResponder;
class RunRegistry;
class TimerService;
class WorkerPool;
class WorkspaceKeys;
struct ArrivalTime;
struct ClaimDecision;
struct DeliveryContext;
struct HttpRequest;
struct PlainRequest;

/// Routes HTTP requests of callers and starts the runs that answer them. Requests other than
/// those for health and metrics are offered to the operator handler first.
/// Thread safety: only from the thread of the server; parsing runs on the worker pool.
class Gateway : public QObject
{
public:
    /// Handles the request and returns true, or returns false if the path is not its own.
    using PathHandler = std::function<bool(const HttpRequest &request,
                                           const std::shared_ptr<HttpResponder> &responder)>;

    /// Precondition: all references outlive the gateway.
    Gateway(DeliveryContext &delivery, RunRegistry &runs, WorkerPool &workers, VmId self);
    ~Gateway() override;

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    /// Admits later requests under @p configuration; running requests keep the configuration that
    /// they were admitted under.
    void setConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void setOperatorHandler(PathHandler handler) { m_operatorHandler = std::move(handler); }
    /// Appends the lines that @p text returns to /metrics.
    void setMetricsSource(std::function<QByteArray()> text) { m_metricsSource = std::move(text); }

    /// Answers requests whose key another daemon holds through @p attached. Precondition:
    /// @p attached outlives the gateway.
    void setAttachClient(AttachClient *attached) { m_attachClient = attached; }

    /// Makes /readyz report "not ready" from now on. Requests are still served.
    void announceDrain() { m_isDrainAnnounced = true; }
    /// Refuses all later requests with ErrorKind::Draining.
    void refuseNewRequests() { m_refusesNewRequests = true; }
    bool isReady() const { return m_configuration != nullptr && !m_isDrainAnnounced; }
    /// Number of requests that are not answered yet.
    int pending() const;

    const AnswerMetrics &metrics() const { return m_metrics; }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    bool handleUnauthenticatedPath(const HttpRequest &request, const Responder &responder);
    Result<WorkspaceId> admit(const HttpRequest &request) const;
    ArrivalTime arrivalNow() const;
    void listModels(const WorkspaceId &workspace, const Responder &responder);
    void parseAndRun(const HttpRequest &request, const WorkspaceId &workspace,
                     CompletionShape shape, const Responder &responder);
    /// Connects a caller to its run. The pointers are weak because the run owns its sinks.
    struct CallerLink {
        std::weak_ptr<GenerationRun> run;
        std::weak_ptr<AnswerSink> sink;
    };

    void detach(const CallerLink &link);
    void abortSlowReader(const CallerLink &link);
    void run(const CompletionRequest &request, const Responder &responder);
    void answerFromClaimHolder(const ClaimDecision &held, const CompletionRequest &request,
                               const std::shared_ptr<AnswerSink> &sink);
    void callPlain(const PlainRequest &request, const Responder &responder);
    void refuse(const Error &error, const Responder &responder);
    QByteArray metricsText() const;

    DeliveryContext &m_delivery;
    RunRegistry &m_runs;
    WorkerPool &m_workers;
    const VmId m_self;
    std::shared_ptr<const Configuration> m_configuration;
    std::shared_ptr<const WorkspaceKeys> m_keys;
    PathHandler m_operatorHandler;
    std::function<QByteArray()> m_metricsSource;
    AttachClient *m_attachClient = nullptr;
    AnswerMetrics m_metrics;
    int m_parsingRequests = 0;
    int m_plainCalls = 0;
    bool m_isDrainAnnounced = false;
    bool m_refusesNewRequests = false;
};

} // namespace cranberry
