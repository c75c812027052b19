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

constexpr int MissesUntilDead = 3;
constexpr Milliseconds PollTimeout{1500};

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
    , m_changed(std::move(changed))
    , m_ticks(timers.every(interval, [this] { pollAll(); }))
{
}

TargetPoller::~TargetPoller() = default;

void TargetPoller::setConfiguration(const Configuration &configuration)
{
    std::map<TargetId, Polled> polled;
    for (auto target = configuration.targets.cbegin(); target != configuration.targets.cend();
         ++target) {
        if (target->models.isEmpty())
            continue;
        const auto known = m_polled.find(target.key());
        const bool same = known != m_polled.end() && known->second.endpoint == target->endpoint;
        if (same)
            polled.emplace(target.key(), std::move(known->second));
        else
            polled[target.key()].endpoint = target->endpoint;
    }
    m_polled = std::move(polled);
    pollAll();
}

void TargetPoller::pollAll()
{
    for (auto &[target, polled] : m_polled) {
        if (!polled.exchange)
            poll(target, polled);
    }
}

void TargetPoller::poll(const TargetId &target, Polled &polled)
{
    HttpExchangeOptions options;
    options.timeout = PollTimeout;
    options.reuseConnection = true;
    polled.exchange = m_client.fetch(
        polled.endpoint, {"GET", "/load", {}, {}, {}}, options,
        [this, target](HttpExchangeEnd end, const HttpResponse &response) {
            answered(target, end == HttpExchangeEnd::Complete, response.status, response.body);
        });
}

void TargetPoller::answered(const TargetId &target, bool whole, int status, const QByteArray &body)
{
    const auto found = m_polled.find(target);
    if (found == m_polled.end())
        return;
    const std::unique_ptr<HttpExchange> ended = std::move(found->second.exchange);
    if (!whole || status != 200) {
        missed(target, found->second);
        return;
    }
    found->second.misses = 0;
    const bool wasUsable = m_table.usable(target);
    m_table.markBack(target);
    const LoadReport report = parseReport(body);
    m_table.reportReceived(target, report, m_timers.now());
    const bool isUsable = m_table.usable(target);
    if (wasUsable && report.leaving)
        targetLeaves(target, report.incarnation);
    else if (!wasUsable && isUsable)
        logEvent(LogLevel::Info, EventId::TargetBack, {{"target", target.text()}});
    m_changed();
}

void TargetPoller::targetLeaves(const TargetId &target, Incarnation incarnation)
{
    logEvent(LogLevel::Info, EventId::TargetLeaving, {{"target", target.text()}});
    if (m_leaving)
        m_leaving(target, incarnation);
}

void TargetPoller::missed(const TargetId &target, Polled &polled)
{
    ++polled.misses;
    if (polled.misses < MissesUntilDead || !m_table.markDead(target))
        return;
    logEvent(LogLevel::Warning, EventId::TargetDead, {{"target", target.text()}});
    m_changed();
}

} // namespace cranberry
