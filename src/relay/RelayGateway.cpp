#include "relay/RelayGateway.h"

#include "admission/Urgency.h"
#include "base/EventLog.h"
#include "base/StableSortByKey.h"
#include "base/TimerService.h"
#include "http/CallerReply.h"
#include "relay/BrittleServices.h"
#include "relay/EngineReports.h"
#include "relay/ForwardMessage.h"
#include "relay/ForwardOutcome.h"
#include "relay/PeerForwarding.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/RelayRun.h"
#include "relay/ServiceDurations.h"
#include "relay/ShutdownPlan.h"

#include <QRandomGenerator>

#include <functional>

namespace cranberry {

namespace {

/// Delay between the first copies that a daemon orders from one engine; copies ordered by other
/// daemons become known within a few ms.
constexpr Milliseconds MoveStagger{15};
constexpr Milliseconds NoticeMaxAge{20};
constexpr Milliseconds RetryAfterRefusal{300};
/// Used by a daemon without a configuration, which found the store unavailable when it started.
/// That lasts for seconds, and callers retry once or twice: with 0.3 s they were refused again and
/// gave up. An answer after 1 s is still within an objective of 1.5 s.
constexpr Milliseconds RetryAfterNotConfigured{1000};
constexpr int StatusUnavailable = 503;
constexpr int MaxRefusedLinesPerSecond = 200;

Error errorOf(ErrorKind kind, const QString &detail)
{
    Error error;
    error.kind = kind;
    error.detail = detail;
    return error;
}

CrashSubject crashSubject(const RelayRequest &request, const WorkspaceId &workspace,
                          const ServiceId &service)
{
    CrashSubject subject;
    subject.request.fingerprint =
        requestFingerprint(workspace, request.method + ' ' + request.target, request.body);
    subject.request.workspace = workspace;
    for (const QByteArray &part : request.promptParts)
        subject.parts.append({partFingerprint(service, part), {}, QString::fromLatin1(part)});
    return subject;
}

} // namespace

RelayGateway::RelayGateway(RelayContext &context, std::function<bool()> isCurrent)
    : m_context(context)
    , m_isCurrent(std::move(isCurrent))
{
}

RelayGateway::~RelayGateway() = default;

void RelayGateway::setConfiguration(RelayConfiguration configuration, StoreSource source,
                                    Milliseconds age, qsizetype encodedSize)
{
    if (m_configuration && configuration.version <= m_configuration->version)
        return;
    logEvent(LogLevel::Info, EventId::ConfigurationInForce,
             {{"version", QString::number(configuration.version.value())},
              {"hosts", QString::number(configuration.routes.size())},
              {"routes", QString::number(routeCount(configuration))},
              {"keys", QString::number(configuration.workspaceOfKey.size())},
              {"by", QLatin1String(textOf(source))},
              {"bytes", QString::number(encodedSize)},
              {"age_ms", QString::number(age.count())}});
    m_configuration = std::make_shared<const RelayConfiguration>(std::move(configuration));
}

void RelayGateway::targetLeaving(const TargetId &target)
{
    QList<std::shared_ptr<RelayRun>> runs = m_runs.values();
    runs.removeIf([&](const auto &run) { return !run->isGeneratingAt(target); });
    if (runs.isEmpty())
        return;
    stableSortByKey(
        runs, [now = m_context.timers.now()](const auto &run) { return run->movePriority(now); },
        std::greater<double>());
    // The report of the target says how long it will stay.
    m_context.reports.refresh({target}, NoticeMaxAge, [] {});
    // Notices of two engines that leave together arrive one after the other, and other daemons move
    // generations from the same engines. The delay of each move lets it take the earlier ones into
    // account.
    Milliseconds delay(QRandomGenerator::global()->bounded(int(MoveStagger.count())));
    for (const std::shared_ptr<RelayRun> &run : std::as_const(runs)) {
        run->targetLeaving(target, delay);
        delay += MoveStagger;
    }
}

void RelayGateway::targetLost(const TargetId &target)
{
    const QList<std::shared_ptr<RelayRun>> runs = m_runs.values();
    for (const std::shared_ptr<RelayRun> &run : runs)
        run->targetLost(target);
}

void RelayGateway::checkSilence()
{
    const QList<std::shared_ptr<RelayRun>> runs = m_runs.values();
    for (const std::shared_ptr<RelayRun> &run : runs)
        run->checkSilence();
}

QList<TargetId> RelayGateway::enginesWithStreams() const
{
    QSet<TargetId> engines;
    for (const std::shared_ptr<RelayRun> &run : m_runs) {
        if (run->isGenerating())
            engines.insert(run->target());
    }
    return engines.values();
}

void RelayGateway::shutdownBegan()
{
    const QList<std::shared_ptr<RelayRun>> runs = m_runs.values();
    for (const std::shared_ptr<RelayRun> &run : runs)
        run->shutdownBegan();
}

void RelayGateway::handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply)
{
    const Result<RelayRequest> admitted = admit(request);
    if (!admitted) {
        refuse(request, admitted.error(), reply);
        return;
    }
    const RelayRoute &route =
        *findRoute(*m_configuration, admitted.value().host, admitted.value().target);
    startRun(admitted.value(), route, reply);
}

Result<RelayRequest> RelayGateway::admit(const HttpRequest &request) const
{
    if (!m_configuration)
        return errorOf(ErrorKind::NotReady, QStringLiteral("no configuration has been loaded yet"));
    BOOST_OUTCOME_TRY(parsed, m_context.callerProtocol.readRequest(request));
    // An unknown route or key may be part of a newer version: a daemon that may not have the newest
    // one must not refuse it permanently.
    const bool isCurrent = m_isCurrent();
    const RelayRoute *route = findRoute(*m_configuration, parsed.host, parsed.target);
    if (!route)
        return errorOf(isCurrent ? ErrorKind::UnknownPath : ErrorKind::NotReady,
                       QStringLiteral("no route matches the request"));
    const bool isAllowed = !m_configuration->needsKey || route->allowsAnonymous
        || m_configuration->workspaceOfKey.contains(parsed.key);
    if (!isAllowed)
        return errorOf(isCurrent ? ErrorKind::Unauthorized : ErrorKind::NotReady,
                       QStringLiteral("the API key is unknown"));
    if (outlastsShutdown(parsed, *route))
        return errorOf(ErrorKind::Draining, QStringLiteral("this daemon is shutting down"));
    return parsed;
}

bool RelayGateway::outlastsShutdown(const RelayRequest &request, const RelayRoute &route) const
{
    if (!m_context.shutdown)
        return false;
    const Milliseconds timeLeft =
        std::min(route.timeout, request.callerTimeout.value_or(route.timeout));
    const DurationEstimate estimate =
        m_context.durations.estimate(serviceFor(route, request.id), route, request, timeLeft);
    return !isAnsweredBeforeShutdown(*m_context.shutdown, m_context.timers.now(),
                                     expectedDuration(estimate));
}

void RelayGateway::refuse(const HttpRequest &request, const Error &error,
                          const std::shared_ptr<CallerReply> &reply)
{
    logRefused(request, error);
    const bool isDraining = error.kind == ErrorKind::Draining;
    m_context.counters.shutdownRejected += isDraining ? 1 : 0;
    const Milliseconds retryAfter = isDraining ? RetryAfterDraining
        : m_configuration                      ? RetryAfterRefusal
                                               : RetryAfterNotConfigured;
    reply->send(m_context.callerProtocol.failure(error, retryAfter));
}

void RelayGateway::logRefused(const HttpRequest &request, const Error &error)
{
    // By kind, so that a frequent one does not hide the others.
    LogRate &lines = m_refusedLines.try_emplace(error.kind, MaxRefusedLinesPerSecond).first->second;
    if (!lines.mayWrite(m_context.timers.now()))
        return;
    const qint64 version = m_configuration ? m_configuration->version.value() : 0;
    logEvent(LogLevel::Info, EventId::RelayRefused,
             {{"request", m_context.callerProtocol.requestId(request).text()},
              {"path", QString::fromUtf8(request.path.left(80))},
              {"kind", QLatin1String(errorAnswer(error.kind).name)},
              {"version", QString::number(version)},
              {"current", m_isCurrent() ? QStringLiteral("yes") : QStringLiteral("no")},
              {"detail", error.detail},
              {"omitted", QString::number(lines.takeOmitted())}});
}

void RelayGateway::startRun(RelayRequest request, const RelayRoute &route,
                            const std::shared_ptr<CallerReply> &reply)
{
    RelayTask task;
    task.service = serviceFor(route, request.id);
    task.workspace = m_configuration->workspaceOfKey.value(request.key);
    task.engine = m_configuration->services.value(task.service).engine;
    task.subject = crashSubject(request, task.workspace, task.service);
    task.request = std::move(request);
    task.route = route;
    const auto priority = m_configuration->priorityOfWorkspace.constFind(task.workspace);
    const bool hasPriority = priority != m_configuration->priorityOfWorkspace.cend();
    task.route.priority = combinedPriority(
        hasPriority ? std::optional<int>(*priority) : std::nullopt, route.priority);
    task.arrived = m_context.timers.now();
    ++m_context.counters.of(route.kind).arrived;
    logEvent(
        LogLevel::Info, EventId::RelayArrived,
        {{"request", task.request.id.text()},
         {"route", route.name},
         {"service", task.service.text()},
         {"workspace", task.workspace.text()},
         {"version", QString::number(m_configuration->version.value())},
         {"fingerprint", task.subject.request.fingerprint.text()},
         {"parts", partNames(task.subject.parts)},
         {"prompt", QString::number(task.request.promptTokens.value())},
         {"most", QString::number(task.request.maxOutput.value())},
         {"expected", QString::number(task.request.expectedOutput.value_or(Tokens(0)).value())}});
    start(std::move(task), reply);
}

void RelayGateway::start(RelayTask task, const std::shared_ptr<CallerReply> &reply)
{
    const bool isForwarded = !task.forwardedBy.isEmpty();
    if (isForwarded)
        m_context.forwarding.taken();
    const auto run = std::make_shared<RelayRun>(m_context, std::move(task), reply,
                                                [this, isForwarded](const RelayRun *ended) {
                                                    if (isForwarded)
                                                        m_context.forwarding.takenEnded();
                                                    m_runs.remove(ended);
                                                });
    m_runs.insert(run.get(), run);
    run->start();
}

QString RelayGateway::forwardFault(const std::optional<ForwardMessage> &message,
                                   const CallerReply &reply) const
{
    if (!message)
        return QStringLiteral("the message cannot be decoded");
    if (!m_context.forwarding.isPeer(message->from, reply.callerAddress()))
        return QStringLiteral("the sender is not a known daemon");
    if (!m_configuration || !m_configuration->services.contains(message->service))
        return QStringLiteral("the service is not known");
    if (m_context.shutdown)
        return QStringLiteral("this daemon is shutting down");
    if (m_context.reach.isUnreachable(message->service))
        return QStringLiteral("the service is unreachable from here as well");
    if (!m_configuration->services.value(message->service).engine
        && !m_context.brittle.hasPart(message->service))
        return QStringLiteral("this daemon has no part of the room of the brittle targets");
    if (!m_context.forwarding.hasRoom())
        return QStringLiteral("this daemon processes too many requests of others");
    return {};
}

void RelayGateway::handleForwarded(const HttpRequest &request,
                                   const std::shared_ptr<CallerReply> &reply)
{
    const std::optional<ForwardMessage> message = decodeForward(request.body);
    const QString fault = forwardFault(message, *reply);
    if (!fault.isEmpty()) {
        m_context.forwarding.refused();
        logEvent(LogLevel::Info, EventId::ForwardRefused,
                 {{"request", message ? message->request.id.text() : QString()},
                  {"from", message ? message->from.text() : QString()},
                  {"reason", fault}});
        reply->send({StatusUnavailable, withForwardOutcome({}, ForwardOutcome::NotTaken), {}});
        return;
    }
    RelayTask task;
    task.service = message->service;
    task.workspace = message->workspace;
    task.engine = m_configuration->services.value(message->service).engine;
    task.request = message->request;
    task.subject = crashSubject(task.request, task.workspace, task.service);
    task.route = message->route;
    task.arrived = m_context.timers.now() - message->age;
    task.forwardedBy = message->from;
    task.isCountedElsewhere = message->isCounted;
    logEvent(LogLevel::Info, EventId::RelayArrived,
             {{"request", task.request.id.text()},
              {"route", task.route.name},
              {"service", task.service.text()},
              {"workspace", task.workspace.text()},
              {"fingerprint", task.subject.request.fingerprint.text()},
              {"parts", partNames(task.subject.parts)},
              {"from", task.forwardedBy.text()},
              {"age_ms", QString::number(message->age.count())},
              {"left_ms", QString::number(message->left.count())}});
    start(std::move(task), reply);
}

} // namespace cranberry
