#include "placement/TargetPoller.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "configuration/Configuration.h"
#include "http/HttpClient.h"
#include "placement/TargetTable.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

namespace {

constexpr int FailuresUntilDead = 3;
constexpr Milliseconds PollTimeout{1500};
/// A report is one object of some hundred bytes.
constexpr Bytes MaxReport{16 * 1024};

LoadReport parseReport(const QByteArray &body)
{
    const QJsonObject object = QJsonDocument::fromJson(body).object();
    const auto number = [&object](const char *name) {
        return qint64(object.value(QLatin1String(name)).toDouble());
    };
    LoadReport report;
    report.incarnation = Incarnation(number("incarnation"));
    report.residentTokens = Tokens(number("resident_tokens"));
    report.capacityTokens = Tokens(number("capacity_tokens"));
    report.running = int(number("running"));
    report.waiting = int(number("waiting"));
    report.preemptions = number("preemptions");
    report.leaving = object.value(QStringLiteral("leaving")).toBool();
    report.age = Milliseconds(number("age_ms"));
    return report;
}

} // namespace

TargetPoller::TargetPoller(TimerService &timers, HttpClient &client, TargetTable &table,
                           Milliseconds interval, ChangedCallback changed)
    : m_timers(timers)
    , m_client(client)
    , m_table(table)
    , m_interval(interval)
    , m_changedCallback(std::move(changed))
    , m_pollTimer(timers.every(interval, [this] { pollAll(); }))
{
}

TargetPoller::~TargetPoller() = default;

void TargetPoller::setConfiguration(const Configuration &configuration)
{
    std::map<TargetId, PolledTarget> polled;
    for (auto target = configuration.targets.cbegin(); target != configuration.targets.cend();
         ++target) {
        if (target->models.isEmpty())
            continue;
        const auto known = m_polledTargets.find(target.key());
        const bool unchanged =
            known != m_polledTargets.end() && known->second.endpoint == target->endpoint;
        if (unchanged)
            polled.emplace(target.key(), std::move(known->second));
        else
            polled[target.key()].endpoint = target->endpoint;
    }
    m_polledTargets = std::move(polled);
    pollAll();
}

void TargetPoller::pollAll()
{
    for (auto &[target, polled] : m_polledTargets) {
        if (!polled.exchange)
            poll(target, polled);
    }
}

void TargetPoller::poll(const TargetId &target, PolledTarget &polled)
{
    HttpExchangeOptions options;
    options.timeout = PollTimeout;
    options.maxBody = MaxReport;
    options.reuseConnection = true;
    polled.exchange =
        m_client.fetch(polled.endpoint, {"GET", "/load", {}, {}, {}}, options,
                       [this, target](HttpExchangeEnd end, const HttpResponse &response) {
                           handleResponse(target, end == HttpExchangeEnd::Complete, response.status,
                                          response.body);
                       });
}

void TargetPoller::handleResponse(const TargetId &target, bool isComplete, int status,
                                  const QByteArray &body)
{
    const auto found = m_polledTargets.find(target);
    if (found == m_polledTargets.end())
        return;
    const std::unique_ptr<HttpExchange> ended = std::move(found->second.exchange);
    if (!isComplete || status != 200) {
        handleFailure(target, found->second);
        return;
    }
    found->second.consecutiveFailures = 0;
    const bool wasUsable = m_table.usable(target);
    m_table.markAlive(target);
    const LoadReport report = parseReport(body);
    m_table.reportReceived(target, report, m_timers.now());
    const bool isUsable = m_table.usable(target);
    if (wasUsable && report.leaving)
        notifyLeaving(target, report.incarnation);
    else if (!wasUsable && isUsable)
        logEvent(LogLevel::Info, EventId::TargetBack, {{"target", target.text()}});
    m_changedCallback();
}

void TargetPoller::notifyLeaving(const TargetId &target, Incarnation incarnation)
{
    logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
    if (m_leavingCallback)
        m_leavingCallback(target, incarnation);
}

void TargetPoller::handleFailure(const TargetId &target, PolledTarget &polled)
{
    ++polled.consecutiveFailures;
    if (polled.consecutiveFailures < FailuresUntilDead || !m_table.markDead(target))
        return;
    logEvent(LogLevel::Warning, EventId::TargetDead, {{"target", target.text()}});
    m_changedCallback();
}

} // namespace cranberry
